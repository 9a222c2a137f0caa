use std::net::SocketAddr;
use thiserror::Error;

/// Why an entry instance could not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {source}; choose a free address")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}
