use lycheeyard_protocol::Epoch;
use tokio::time::Instant;

/// A scheduler lease as its holder knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The epoch.
    pub epoch: Epoch,
    /// Until when the holder may act, counted from before the renewal was sent.
    pub valid_until: Instant,
}

/// What one attempt at the lease came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseOutcome {
    /// This instance holds the lease.
    Held(HeldLease),
    /// Another instance holds it, or this one lost it.
    NotHeld,
}
