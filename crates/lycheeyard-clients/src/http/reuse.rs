use std::time::Duration;
use tokio::time::Instant;

/// How many times the usual answer time an answer may take before its connection counts as silent.
const SLOW_ANSWER_FACTOR: u32 = 4;

/// How far a client trusts connections that answered an earlier call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// A call on one waits until its deadline.
    #[default]
    Trusted,
    /// A call on one waits this long at most, or a few times the usual answer time where that is longer,
    /// so that time is left for another call on a new connection.
    Limited(Duration),
    /// Each call opens a connection of its own.
    Never,
}

impl ConnectionReuse {
    /// Until when an answer is awaited.
    pub(super) fn limit(self, is_reused: bool, usual: Duration, deadline: Instant) -> Instant {
        match self {
            Self::Limited(shortest) if is_reused => {
                let wait = shortest.max(usual * SLOW_ANSWER_FACTOR);
                deadline.min(Instant::now() + wait)
            }
            Self::Limited(_) | Self::Trusted | Self::Never => deadline,
        }
    }
}
