//! The request path from callers to runners.

mod error;
mod request;
mod router;
mod runner;

pub use error::RouteError;
pub use request::{RouteAnswer, RouteRequest};
pub use router::Router;
pub use runner::{Runner, RunnerTable};
