use super::DataCentreMembers;
use lycheeyard_protocol::{Digest, InstanceId, WorkerId};

/// Whether an instance renews task leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalDecision {
    /// The instance renews the leases of its share of the workers.
    Renew,
    /// The instance renews nothing, because its records may be stale while other instances act on newer ones.
    Withhold,
}

/// Decides whether an instance renews task leases. If `records_fresh` is false, its records may be stale.
///
/// During a store outage no instance holds the scheduler lease, so nothing changes the records and renewals continue.
/// An instance that reaches neither the store nor any peer cannot detect whether a peer holds the lease, so it does not
/// renew.
#[must_use]
pub fn decide_renewal(records_fresh: bool, members: &DataCentreMembers) -> RenewalDecision {
    let is_isolated = members.live.is_empty() && members.others_listed;
    if records_fresh || !(members.peer_holds_lease || is_isolated) {
        RenewalDecision::Renew
    } else {
        RenewalDecision::Withhold
    }
}

/// Returns the member that renews a worker's task leases, by rendezvous hashing: the one with the highest digest of
/// its own id and the worker's.
#[must_use]
pub fn rendezvous_owner<'a>(
    worker: &WorkerId,
    members: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    let rank = |member: &&InstanceId| Digest::of(format!("{member}/{worker}").as_bytes());
    members.into_iter().max_by_key(rank)
}
