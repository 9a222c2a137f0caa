use crate::ports::{LeaseId, StoreRevision};
use lycheeyard_jobs::BootTime;
use lycheeyard_protocol::Epoch;
use std::time::Duration;

/// No order is sent during this time before the lease may end, since orders take time to arrive.
pub(super) const EXPIRY_MARGIN: Duration = Duration::from_millis(150);
/// The error of the clock of a holder over the duration of its lease, at most.
const LEASE_CLOCK_ERROR: Duration = Duration::from_millis(50);

/// A period in which this instance holds the scheduling lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// The fencing token of the term; each new term has a higher one.
    pub epoch: Epoch,
    /// The revision of the scheduler's key, which does not change during the term.
    pub(crate) revision: StoreRevision,
    /// A revision by which every earlier term had ended that may have extended leases of workers.
    pub(crate) predecessors_ended_by: StoreRevision,
    pub(crate) lease: LeaseId,
    /// The duration of the lease as the store granted it.
    pub(crate) ttl: Duration,
    /// When the lease was requested, before the term began.
    pub(crate) requested_at: BootTime,
    /// The earliest time at which the lease may end without a renewal.
    pub(crate) valid_until: BootTime,
}

/// How long after the certain end of its own lease a holder extends workers' leases at most.
const MAX_EXTENSION_GRACE: Duration = Duration::from_secs(5);
/// How long that is at least, however long workers' leases are.
const MIN_EXTENSION_GRACE: Duration = Duration::from_millis(100);
/// How long workers' leases may last after the certain end of the holder's own lease, unless one of them is longer. It is also the time
/// for which a successor takes runs as present on a worker that nobody can reach.
const MAX_OUTLIVING: Duration = Duration::from_millis(10_100);

/// How long after the certain end of its own lease a holder keeps extending workers' leases, which last up to `max_lease`, so that their
/// runs survive an outage of the store. A successor assumes that its predecessor did so.
pub(crate) fn extension_grace(max_lease: Duration) -> Duration {
    let grace = MAX_OUTLIVING.saturating_sub(max_lease);
    grace.clamp(MIN_EXTENSION_GRACE, MAX_EXTENSION_GRACE)
}

/// How long after the end of the holder's own lease its successors count on such extensions. The holder stops earlier by the margin that it keeps
/// before its lease ends, of which [`LEASE_CLOCK_ERROR`] is left for a clock that is slower than that of the store.
pub(crate) fn successor_grace(max_lease: Duration) -> Duration {
    let margin = EXPIRY_MARGIN.saturating_sub(LEASE_CLOCK_ERROR);
    extension_grace(max_lease).saturating_sub(margin)
}

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

    /// Returns until when leases of workers, which last up to `max_lease`, may be extended; `None` once the term has ended.
    #[must_use]
    pub fn extensions_until(self, max_lease: Duration) -> Option<BootTime> {
        match self {
            Self::Held(until) | Self::Unconfirmed(until) => {
                Some(until.after(extension_grace(max_lease)))
            }
            Self::Ended => None,
        }
    }
}
