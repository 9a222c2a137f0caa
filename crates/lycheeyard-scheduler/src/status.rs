use lycheeyard_state::HeldLease;
use tokio::time::Instant;

/// The status that a scheduler publishes to the rest of its instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulerStatus {
    /// The scheduler lease, while this instance holds it.
    pub held: Option<HeldLease>,
}

impl SchedulerStatus {
    /// The lease, unless it has expired at `now`.
    ///
    /// `held` alone is not enough to act on: a paused process still records a lease that has expired meanwhile.
    #[must_use]
    pub fn valid_lease(&self, now: Instant) -> Option<HeldLease> {
        self.held.filter(|held| held.is_valid(now))
    }
}
