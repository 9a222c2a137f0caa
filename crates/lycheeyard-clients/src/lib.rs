//! Clients for the platform's store, workers and instance list, and the HTTP client and server under them.
//!
//! Each platform interface is a trait, so that tests can replace the HTTP client.

mod backoff;
mod connections;
mod http;
mod list;
mod metrics;
mod pacer;
mod store;
mod workers;

pub use backoff::Backoff;
pub use connections::{
    ClientLimits, Connection, Connections, HoldError, ListenerKind, ListenerLimits, ProcessLimits,
    WatchedStream,
};
pub use http::{
    BodyError, BodyLimits, CallError, ConnectionReuse, HttpHandler, HttpReply, HttpServer,
    JsonClient, JsonElements, RequestBody, json_request, serve_connection,
};
pub use list::{HttpInstanceDirectory, InstanceDirectory};
pub use pacer::Pacer;
pub use store::{CallClass, HttpStore, ResolvedWrite, Store, StoreError, WriteOutcome};
pub use workers::{HttpWorkers, WorkerError, Workers};
