use lycheeyard_protocol::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Callers are told to come back after at least this many seconds.
const MIN_RETRY_AFTER_S: u64 = 1;
/// Callers are not told to stay away for longer than this many seconds or twice that, since capacity may come back.
const MAX_FIRST_RETRY_S: u64 = 30;

/// What the store says of a queue that accepts no jobs of an organisation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClosedQueue {
    /// When work that is submitted now would be served.
    pub served_at: Timestamp,
    /// When the queue is expected to accept jobs again.
    pub opens_at: Timestamp,
}

impl ClosedQueue {
    /// How long work that is submitted at `now` would wait.
    #[must_use]
    pub fn wait(self, now: Timestamp) -> Duration {
        self.served_at.since(now)
    }

    /// The range from which the seconds are drawn after which a caller who is refused at `now` may come back: from the expected
    /// opening to twice that time, so that refused callers do not return together.
    #[must_use]
    pub fn retry_after_s(self, now: Timestamp) -> (u64, u64) {
        let left_ms = self.opens_at.0.saturating_sub(now.0);
        let first = left_ms
            .div_ceil(1000)
            .clamp(MIN_RETRY_AFTER_S, MAX_FIRST_RETRY_S);
        (first, first * 2)
    }
}
