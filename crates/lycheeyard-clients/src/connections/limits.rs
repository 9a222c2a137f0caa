use rustix::process::{Resource, getrlimit};
use std::time::Duration;
use strum::{EnumCount, IntoStaticStr, VariantArray};

/// The memory of all requests of a process whose settings do not name it, in bytes.
const DEFAULT_REQUEST_BYTES: usize = 48 << 20;
/// The number of descriptors of a process that may open any number.
const DEFAULT_DESCRIPTORS: usize = 4096;
/// A listener for clients may use one in this many descriptors.
const CLIENT_SHARE: usize = 2;
const PEER_SHARE: usize = 8;
const PROBE_SHARE: usize = 32;
/// A listener takes this many connections however few descriptors there are.
const MIN_CONNECTIONS: usize = 4;

/// What a listener is for; prints as in metrics and log lines.
#[derive(
    Clone, Copy, Debug, EnumCount, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ListenerKind {
    /// Calls of clients.
    Clients,
    /// Calls of other instances.
    Peers,
    /// Readiness checks.
    Readiness,
    /// Requests for metrics.
    Metrics,
}

/// What all connections that a process accepts may use together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessLimits {
    /// The memory that connections and their requests may hold, in bytes.
    pub request_bytes: usize,
    /// The descriptors that the process may open for all its purposes.
    pub descriptors: usize,
    /// The number of connections for clients; `None` for the share that [`Self::listener`] gives them.
    pub max_clients: Option<usize>,
}

impl ProcessLimits {
    /// Limits the number of descriptors to what the operating system allows.
    #[must_use]
    pub fn within_system_limits(self) -> Self {
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.map_or(usize::MAX, |allowed| {
            usize::try_from(allowed).unwrap_or(usize::MAX)
        });
        Self {
            descriptors: self.descriptors.min(allowed),
            ..self
        }
    }

    /// Returns the limits of a listener. All kinds together leave five of 16 descriptors to the calls that the process makes itself.
    #[must_use]
    pub fn listener(&self, kind: ListenerKind) -> ListenerLimits {
        let share = match kind {
            ListenerKind::Clients => CLIENT_SHARE,
            ListenerKind::Peers => PEER_SHARE,
            ListenerKind::Readiness | ListenerKind::Metrics => PROBE_SHARE,
        };
        let share = (self.descriptors / share).max(MIN_CONNECTIONS);
        let max_connections = match (kind, self.max_clients) {
            (ListenerKind::Clients, Some(max_clients)) => max_clients.min(share),
            _ => share,
        };
        ListenerLimits {
            kind,
            max_connections,
        }
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            request_bytes: DEFAULT_REQUEST_BYTES,
            descriptors: DEFAULT_DESCRIPTORS,
            max_clients: None,
        }
    }
}

/// The limits of one listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerLimits {
    /// What the listener is for.
    pub kind: ListenerKind,
    /// The number of connections that may be open at a time.
    pub max_connections: usize,
}

/// What each client of a listener may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// The size of the request line and the headers together, in bytes.
    pub max_head_bytes: usize,
    /// How long the head of a request may take from its first byte.
    pub head_timeout: Duration,
    /// How long a connection may be open without a request, or without a client that reads the response.
    pub idle_timeout: Duration,
    /// How long a body may take, whatever the caller's own deadline is.
    pub body_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_secs(10),
        }
    }
}
