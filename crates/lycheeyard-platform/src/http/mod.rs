mod client;
mod error;
mod reuse;

pub use client::JsonClient;
pub use error::CallError;
pub use reuse::Reuse;
