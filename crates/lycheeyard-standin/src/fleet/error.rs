use crate::{ClusterError, StandinError};
use lycheeyard_protocol::ParseError;
use thiserror::Error;

/// Why a fleet of entry processes could not be driven.
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
    /// A process could not be started or told something.
    #[error("the entry process {name} cannot be driven: {source}")]
    Process {
        /// The entry process.
        name: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process ended before it listened.
    #[error("the entry process {0} ended before it listened; its log tells why")]
    NotListening(String),
    /// A call got no whole answer.
    #[error("{address} gave no whole answer: {reason}")]
    NoAnswer {
        /// The called address.
        address: std::net::SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// Something that had to come about did not in time.
    #[error("not reached in time: {0}")]
    NotReached(String),
    /// No running process has this name.
    #[error("there is no entry process {0}")]
    Unknown(String),
}
