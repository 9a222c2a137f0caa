//! The request path from callers to runners: slots, claims, retries, connections and forwarding to other data centres.

mod answer;
mod claims;
mod connection;
mod error;
mod exchange;
mod hop;
mod members;
mod metrics;
mod request;
mod router;
mod runner;
mod slots;
mod upstream;

pub use answer::{AnswerBody, AnswerSource, RouteAnswer, StreamError};
pub use error::RouteError;
pub use request::{CONTROL_HEADERS, RouteRequest, end_to_end, header_name};
pub use router::{Router, RouterSettings};
pub use runner::{Runner, RunnerTable};
