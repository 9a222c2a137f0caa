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

/// The outcome of an attempt to acquire or renew the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseOutcome {
    /// This instance holds the lease.
    Held(HeldLease),
    /// Another instance holds it, or this one lost it.
    NotHeld,
}
