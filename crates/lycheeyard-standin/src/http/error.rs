use thiserror::Error;

/// Why a stand-in could not start or answer a call.
#[derive(Debug, Error)]
pub enum StandinError {
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {source}; choose a free address")]
    Listen {
        /// The requested address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The injected failures made the server drop this response.
    #[error("the response was dropped by an injected failure")]
    AnswerDropped,
}
