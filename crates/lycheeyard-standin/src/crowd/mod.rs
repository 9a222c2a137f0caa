//! Clients that misbehave, and what their server uses meanwhile.

mod clients;
mod request;
mod usage;

pub use clients::Crowd;
pub use request::PostRequest;
pub use usage::{ProcessUsage, UsageWatch};
