mod answer;
mod error;
mod handler;
mod reply;
mod server;

pub use error::StandinError;
pub use handler::JsonHandler;
pub(crate) use reply::{answer_json, bad_request, json_reply, parse};
pub use server::StandinServer;
