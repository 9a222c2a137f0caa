use crate::ports::LeaseId;
use lycheeyard_protocol::OrganisationId;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// How long a withdrawal is stored at least. Copies of a submission that got no answer are carried out some seconds late at most, and a
/// caller repeats it within its own time limit.
const MIN_RETENTION: Duration = Duration::from_secs(60);
/// How long one lease is used for new withdrawals, so that few leases are needed.
const LEASE_USE: Duration = Duration::from_secs(60);
/// The time to live of a lease.
pub(super) const LEASE_TTL: Duration = MIN_RETENTION.saturating_add(LEASE_USE);
/// How many withdrawals of one organisation this instance stores under one lease.
const MAX_PER_ORGANISATION: u32 = 2000;

/// The lease under which this instance stores withdrawals: notes that a job was cancelled before it was stored, so that no late copy of
/// its submission stores it. They end with the lease.
#[derive(Clone, Debug, Default)]
pub(super) struct Withdrawals {
    current: Arc<Mutex<Option<WithdrawalLease>>>,
}

#[derive(Debug)]
struct WithdrawalLease {
    id: LeaseId,
    use_until: Instant,
    /// How many withdrawals it has.
    counts: BTreeMap<OrganisationId, u32>,
}

/// Whether a withdrawal may be stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Place {
    /// Under this lease.
    Under(LeaseId),
    /// Once a new lease is granted.
    NeedsLease,
    /// Not before others of the organisation have ended.
    Full,
}

impl Withdrawals {
    /// Counts a withdrawal of an organisation and returns the lease for it.
    pub fn take_place(&self, organisation: &OrganisationId) -> Place {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let lease = current
            .as_mut()
            .filter(|lease| Instant::now() < lease.use_until);
        let Some(lease) = lease else {
            return Place::NeedsLease;
        };
        let count = lease.counts.entry(organisation.clone()).or_default();
        if *count >= MAX_PER_ORGANISATION {
            return Place::Full;
        }
        *count += 1;
        Place::Under(lease.id)
    }

    /// Uses a lease that was requested at `requested_at` and granted for `ttl`.
    pub fn set_lease(&self, id: LeaseId, requested_at: Instant, ttl: Duration) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(WithdrawalLease {
            id,
            use_until: requested_at + ttl.saturating_sub(MIN_RETENTION),
            counts: BTreeMap::new(),
        });
    }

    /// Uses the lease no more, since the store has ended it.
    pub fn drop_lease(&self, id: LeaseId) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        current.take_if(|lease| lease.id == id);
    }
}
