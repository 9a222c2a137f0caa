use super::ListenerKind;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A request that has not arrived as a whole this long after its first byte counts as slow.
const SLOW_AFTER: Duration = Duration::from_secs(1);

/// The number of a connection, which no other connection of the process gets.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct ConnectionId(pub u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Nothing has arrived yet.
    New,
    /// A part of the head of a request has arrived.
    Head,
    /// The head of a request has arrived and its body has not, or not as a whole.
    Body,
    /// A whole request has arrived and has no response yet.
    Serving,
    /// The last request has its response, which the client may still be reading.
    Answered,
}

/// An accepted connection.
#[derive(Debug)]
pub(super) struct Entry {
    pub listener: ListenerKind,
    pub phase: Phase,
    /// When the request began to arrive; before the first one and after a response, when the connection last did something.
    pub since: Instant,
    /// When the connection is closed unless it gets on.
    pub deadline: Option<Instant>,
    pub held_bytes: usize,
    /// Cancelled when the connection has to end.
    pub closing: CancellationToken,
}

/// The order in which connections are closed when others need their place: the lowest rank first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    class: RankClass,
    since: Instant,
    id: ConnectionId,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RankClass {
    SlowRequest,
    Idle,
    ArrivingRequest,
}

impl Entry {
    /// Returns the rank for closing; `None` if the connection has a whole request, which always gets its response, or is being closed.
    pub fn rank(&self, id: ConnectionId, now: Instant) -> Option<Rank> {
        if self.closing.is_cancelled() {
            return None;
        }
        let class = match self.phase {
            Phase::Serving => return None,
            Phase::Answered => RankClass::Idle,
            Phase::New | Phase::Head | Phase::Body if self.since + SLOW_AFTER <= now => {
                RankClass::SlowRequest
            }
            Phase::New | Phase::Head | Phase::Body => RankClass::ArrivingRequest,
        };
        Some(Rank {
            class,
            since: self.since,
            id,
        })
    }
}
