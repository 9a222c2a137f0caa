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

/// How long after the certain end of its own lease a holder keeps extending workers' leases, so that their runs survive an
/// outage of the store. A successor assumes that its predecessor did so.
pub(crate) const EXTENSION_GRACE: Duration = Duration::from_secs(5);

/// The state of a term, as its holder sees it.
///
/// The times are on the clock that continues while the machine is suspended, so that a holder which was suspended can compare
/// them with the present time before it acts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TermState {
    /// The lease is certainly valid until this time.
    Held(BootTime),
    /// The lease was certainly valid until this time; since then it may have ended.
    Unconfirmed(BootTime),
    /// The lease has ended, or a newer term has begun.
    Ended,
}

impl TermState {
    /// Returns whether records may be written and orders sent at `now`.
    #[must_use]
    pub fn may_act(self, now: BootTime) -> bool {
        matches!(self, Self::Held(until) if !until.is_past(now))
    }

    /// Returns whether the leases of workers may be extended at `now`.
    #[must_use]
    pub fn may_extend_leases(self, now: BootTime) -> bool {
        match self {
            Self::Held(until) | Self::Unconfirmed(until) => {
                !until.after(EXTENSION_GRACE).is_past(now)
            }
            Self::Ended => false,
        }
    }
}
