mod client;
mod error;
mod json;
mod reply;
mod reuse;
mod server;

pub use client::JsonClient;
pub use error::CallError;
pub use json::json_request;
pub use reply::HttpReply;
pub use reuse::ConnectionReuse;
pub use server::{HttpHandler, HttpServer};
