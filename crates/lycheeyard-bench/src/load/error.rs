use std::net::SocketAddr;
use thiserror::Error;

/// Why a load run could not be made.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The document has an impossible value.
    #[error("{field}: {reason}")]
    Document {
        /// The field.
        field: &'static str,
        /// What was wrong.
        reason: String,
    },
    /// There is no target to send requests to.
    #[error("no target is given; name an entry instance or run a local cluster")]
    NoTarget,
    /// A fault names a stand-in that is not known.
    #[error("fault target `{0}` is neither an address nor a known stand-in")]
    UnknownFaultTarget(String),
    /// A histogram could not be made.
    #[error("the latency histogram cannot be made: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A stand-in did not take a fault setting.
    #[error("the stand-in at {address} did not take the fault: {reason}")]
    Fault {
        /// The stand-in.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// A plot could not be drawn.
    #[error("the plot cannot be drawn: {0}")]
    Plot(String),
}
