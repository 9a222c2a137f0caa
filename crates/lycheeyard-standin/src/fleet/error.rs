use crate::{ClusterError, StandinError};
use lycheeyard_protocol::ParseError;
use thiserror::Error;

/// Why an operation on a fleet of entry processes failed.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The stand-ins did not start.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A list or link did not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] ParseError),
    /// A process could not be started, signalled or waited for.
    #[error("cannot start, signal or wait for the entry process {name}: {source}")]
    Process {
        /// The name of the entry process.
        name: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A process ended before it listened.
    #[error("the entry process {0} ended before it listened; see its log for the cause")]
    NotListening(String),
    /// A call got no complete response.
    #[error("no complete response from {address}: {reason}")]
    NoAnswer {
        /// The called address.
        address: std::net::SocketAddr,
        /// The error of the failed call.
        reason: String,
    },
    /// An awaited condition did not hold before the timeout.
    #[error("timed out: {0}")]
    NotReached(String),
    /// No running process has this name.
    #[error("no running entry process is named {0}")]
    Unknown(String),
}
