//! Clients for the platform's store, workers and instance list, and the HTTP client and server under them.
//!
//! Each platform interface is a trait, so that tests can replace the HTTP client.

mod backoff;
mod http;
mod list;
mod metrics;
mod pacer;
mod store;
mod workers;

pub use backoff::Backoff;
pub use http::{
    CallError, ConnectionReuse, HttpHandler, HttpReply, HttpServer, JsonClient, JsonElements,
    json_request,
};
pub use list::{HttpInstanceDirectory, InstanceDirectory};
pub use pacer::Pacer;
pub use store::{CallClass, HttpStore, ResolvedWrite, Store, StoreError, WriteOutcome};
pub use workers::{HttpWorkers, WorkerError, Workers};
