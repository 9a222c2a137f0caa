use std::time::Duration;
use tokio::time::Instant;

/// A reused connection counts as dead when a response takes this many times the usual response time.
const SLOW_RESPONSE_FACTOR: u32 = 4;

/// Whether a client reuses connections, and how long a call on a reused connection waits.
///
/// A reused connection may be dead without the client noticing; calls on it then get no response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// Reuses connections; a call waits for its response until its deadline.
    #[default]
    Unlimited,
    /// Reuses connections; a call waits for its response for this long, or for a few times the usual
    /// response time if that is longer. Time is then left to retry the call on a new connection.
    Limited(Duration),
    /// Opens a new connection for each call.
    Never,
}

impl ConnectionReuse {
    /// Returns the time at which a call stops waiting for its response.
    pub(super) fn response_deadline(
        self,
        is_reused: bool,
        usual_response_time: Duration,
        deadline: Instant,
    ) -> Instant {
        match self {
            Self::Limited(min_wait) if is_reused => {
                let wait = min_wait.max(usual_response_time * SLOW_RESPONSE_FACTOR);
                deadline.min(Instant::now() + wait)
            }
            Self::Limited(_) | Self::Unlimited | Self::Never => deadline,
        }
    }
}
