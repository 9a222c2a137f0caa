use std::net::SocketAddr;

/// The destination of requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Target {
    /// An entry instance, which routes requests to upstreams.
    Entry(SocketAddr),
    /// A runner that is called directly, without this system.
    Runner(SocketAddr),
}

impl Target {
    /// The socket address of the destination.
    #[must_use]
    pub fn address(self) -> SocketAddr {
        match self {
            Self::Entry(address) | Self::Runner(address) => address,
        }
    }
}
