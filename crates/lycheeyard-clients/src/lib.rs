//! Clients for the platform: the store, the workers and the instance list.
//!
//! Each interface is a trait, so that tests and the daemon can use different carriers.

mod backoff;
mod http;
mod list;
mod metrics;
mod store;
mod workers;

pub use backoff::Backoff;
pub use http::{
    CallError, ConnectionReuse, HttpHandler, HttpReply, HttpServer, JsonClient, json_request,
};
pub use list::{HttpInstanceDirectory, InstanceDirectory};
pub use store::{CallClass, HttpStore, ResolvedWrite, Store, StoreError, WriteOutcome};
pub use workers::{HttpWorkers, WorkerError, Workers};
