mod error;
mod server;

pub use error::StandinError;
pub use server::{JsonHandler, StandinServer};
pub(crate) use server::{answer_json, bad_request, json_reply, parse};
