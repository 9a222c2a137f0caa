mod client;
mod received_list;
mod traits;

pub use client::HttpInstanceDirectory;
pub use traits::InstanceDirectory;
