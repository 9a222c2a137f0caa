mod arrivals;
mod body;
mod client;
mod connection_reuse;
mod elements;
mod error;
mod exchange;
mod json;
mod reply;
mod server;

pub use body::{BodyError, BodyLimits, RequestBody};
pub use client::JsonClient;
pub use connection_reuse::ConnectionReuse;
pub use elements::JsonElements;
pub use error::CallError;
pub use json::json_request;
pub use reply::HttpReply;
pub use server::{HttpHandler, HttpServer, serve_connection};
