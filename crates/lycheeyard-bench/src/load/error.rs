use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;

/// The reason why a load run failed.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A field of the load document is invalid.
    #[error("{field}: {reason}")]
    Document {
        /// The field.
        field: &'static str,
        /// The rule that the value violates.
        reason: String,
    },
    /// No target is given.
    #[error("no target is given; name an entry instance or run a local cluster")]
    NoTarget,
    /// A fault names an unknown stand-in.
    #[error("fault target `{0}` is neither an address nor a known stand-in")]
    UnknownFaultTarget(String),
    /// A latency histogram could not be created.
    #[error("cannot create the latency histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A stand-in did not apply fault settings.
    #[error("the stand-in at {address} did not apply the fault settings: {reason}")]
    Fault {
        /// The address of the stand-in.
        address: SocketAddr,
        /// The error of the call.
        reason: String,
    },
    /// A task that sends requests or injects faults has panicked, so that figures are missing.
    #[error("a task of the load run failed: {0}")]
    Task(#[from] JoinError),
    /// A plot could not be drawn.
    #[error("cannot draw the plot: {0}")]
    Plot(String),
}
