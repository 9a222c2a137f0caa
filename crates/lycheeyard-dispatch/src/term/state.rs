use crate::ports::{LeaseId, StoreRevision};
use lycheeyard_jobs::BootTime;
use lycheeyard_protocol::Epoch;
use std::time::Duration;

/// A period in which this instance holds the scheduling lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// The fencing token of the term; each new term has a higher one.
    pub epoch: Epoch,
    /// The revision of the scheduler's key, which does not change during the term.
    pub(crate) revision: StoreRevision,
    pub(crate) lease: LeaseId,
    /// The duration of the lease as the store granted it.
    pub(crate) ttl: Duration,
    /// The earliest time at which the lease may end without a renewal.
    pub(crate) valid_until: BootTime,
}

/// The state of a term, as its holder sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TermState {
    /// The lease is certainly valid until this time.
    Held(BootTime),
    /// The lease may have ended, but the store has not confirmed it.
    Unconfirmed,
    /// The lease has ended, or a newer term has begun.
    Ended,
}

impl TermState {
    /// Returns whether records may be written and orders sent at `now`.
    #[must_use]
    pub fn may_act(self, now: BootTime) -> bool {
        matches!(self, Self::Held(until) if !until.is_past(now))
    }
}
