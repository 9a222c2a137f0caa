mod client;
mod error;
mod reply;
mod reuse;
mod server;

pub use client::JsonClient;
pub use error::CallError;
pub use reply::HttpReply;
pub use reuse::Reuse;
pub use server::{HttpHandler, HttpServer};
