mod client;
mod traits;

pub use client::HttpInstanceDirectory;
pub use traits::InstanceDirectory;
