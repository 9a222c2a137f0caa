use thiserror::Error;

/// Why a stand-in could not do its work.
#[derive(Debug, Error)]
pub enum StandinError {
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {source}; choose a free address")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The server was told to drop this answer.
    #[error("the answer was dropped by a fault switch")]
    AnswerDropped,
}
