mod client;
mod error;

pub use client::JsonClient;
pub use error::CallError;
