use lycheeyard_protocol::Epoch;
use tokio::time::Instant;

/// A scheduler lease that this instance holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The epoch.
    pub epoch: Epoch,
    /// The time until which the holder may act. It is counted from before the last renewal was sent.
    pub valid_until: Instant,
}

impl HeldLease {
    /// Whether the holder may still act at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until > now
    }
}

/// The outcome of an attempt to acquire or renew the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseOutcome {
    /// This instance holds the lease.
    Held(HeldLease),
    /// Another instance holds it, or this one lost it.
    NotHeld,
}
