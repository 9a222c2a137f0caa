use crate::ports::{LeaseId, StoreRevision};
use lycheeyard_jobs::BootTime;
use lycheeyard_protocol::Epoch;
use std::time::Duration;

/// A period in which this instance schedules.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// Rises from term to term.
    pub epoch: Epoch,
    /// The revision that the scheduler's key keeps during the term.
    pub(crate) revision: StoreRevision,
    pub(crate) lease: LeaseId,
    pub(crate) ttl: Duration,
    /// When the lease may end unless it is renewed.
    pub(crate) valid_until: BootTime,
}

/// How a term stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TermState {
    /// The lease is in force until then, at least.
    Held(BootTime),
    /// The lease may have ended; the store has not said so.
    Doubtful,
    /// The lease has ended, or a newer term has begun.
    Over,
}

impl TermState {
    /// Whether records may be written and orders given at `now`.
    #[must_use]
    pub fn may_act(self, now: BootTime) -> bool {
        matches!(self, Self::Held(until) if !until.is_past(now))
    }
}
