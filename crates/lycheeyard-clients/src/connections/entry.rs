use super::ListenerKind;
use std::{cmp::Reverse, time::Duration};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A request that has not arrived as a whole this long after its first byte counts as slow.
const SLOW_AFTER: Duration = Duration::from_secs(1);
/// A request is small if its connection holds no more than this. Large ones may not use the last quarter of the memory.
pub(super) const SMALL_BYTES: usize = 128 << 10;

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
    /// Cancelled when the connection has to end at once.
    pub closing: CancellationToken,
    /// Cancelled when the request whose body is arriving has to be refused, after which the connection ends.
    pub refusal: CancellationToken,
}

/// The order in which connections are closed when others need their place: the lowest rank first, of two of a kind the older one, but of two
/// large requests the newer one, so that some of them are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Rank {
    /// The request has been arriving for long.
    SlowRequest(Instant, ConnectionId),
    /// There is no request.
    Idle(Instant, ConnectionId),
    /// The request is arriving, and it is not small.
    LargeRequest(Reverse<(Instant, ConnectionId)>),
    /// The request is arriving.
    SmallRequest(Instant, ConnectionId),
}

impl Entry {
    pub fn new(listener: ListenerKind, now: Instant, deadline: Instant) -> Self {
        Self {
            listener,
            phase: Phase::New,
            since: now,
            deadline: Some(deadline),
            held_bytes: 0,
            closing: CancellationToken::new(),
            refusal: CancellationToken::new(),
        }
    }

    /// Whether the connection is being closed for others.
    pub fn is_ending(&self) -> bool {
        self.closing.is_cancelled() || self.refusal.is_cancelled()
    }

    /// Makes the connection end: with a refusal if the head of a request has arrived, else at once.
    pub fn end(&self) {
        if self.phase == Phase::Body {
            self.refusal.cancel();
        } else {
            self.closing.cancel();
        }
    }

    /// Returns the rank of the connection if it held `bytes` bytes; `None` if it has a whole request, which always gets its response, or is
    /// being closed.
    pub fn rank(&self, id: ConnectionId, bytes: usize, now: Instant) -> Option<Rank> {
        if self.is_ending() {
            return None;
        }
        match self.phase {
            Phase::Serving => None,
            Phase::Answered => Some(Rank::Idle(self.since, id)),
            Phase::New | Phase::Head | Phase::Body if self.since + SLOW_AFTER <= now => {
                Some(Rank::SlowRequest(self.since, id))
            }
            Phase::New | Phase::Head | Phase::Body if bytes > SMALL_BYTES => {
                Some(Rank::LargeRequest(Reverse((self.since, id))))
            }
            Phase::New | Phase::Head | Phase::Body => Some(Rank::SmallRequest(self.since, id)),
        }
    }
}
