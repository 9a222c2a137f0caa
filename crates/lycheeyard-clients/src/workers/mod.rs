mod client;
mod error;
mod traits;

pub use client::HttpWorkers;
pub use error::WorkerError;
pub use traits::Workers;
