use std::time::Duration;
use tokio::time::Instant;

/// How far a client trusts connections that answered an earlier call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reuse {
    /// A call on one waits until its deadline.
    #[default]
    Trusted,
    /// A call on one waits this long at most, so that time is left for another on a new connection.
    Limited(Duration),
    /// Each call opens a connection of its own.
    Never,
}

impl Reuse {
    /// Until when an answer is awaited.
    pub(super) fn limit(self, is_reused: bool, deadline: Instant) -> Instant {
        match self {
            Self::Limited(longest) if is_reused => deadline.min(Instant::now() + longest),
            Self::Limited(_) | Self::Trusted | Self::Never => deadline,
        }
    }
}
