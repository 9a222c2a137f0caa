use std::net::SocketAddr;

/// Where requests go.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Target {
    /// An entry instance, which routes them.
    Entry(SocketAddr),
    /// A runner, called without this system in between.
    Runner(SocketAddr),
}

impl Target {
    /// The address.
    #[must_use]
    pub fn address(self) -> SocketAddr {
        match self {
            Self::Entry(address) | Self::Runner(address) => address,
        }
    }
}
