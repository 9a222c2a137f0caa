use super::DataCentreMembers;
use lycheeyard_protocol::{Digest, InstanceId, WorkerId};

/// Whether an instance may renew task leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalRight {
    /// It renews its share.
    Renew,
    /// Its records may be out of date while others act on newer ones.
    Withhold,
}

/// Decides whether records that the store has not confirmed lately may still be used for renewals.
///
/// In an outage of the store nobody holds the scheduler lease, and renewals go on. An instance that is cut off
/// from the store and from all its peers can't tell, and withholds.
#[must_use]
pub fn renewal_right(records_fresh: bool, members: &DataCentreMembers) -> RenewalRight {
    let alone = members.live.is_empty() && members.others_listed;
    if records_fresh || !(members.peer_holds_lease || alone) {
        RenewalRight::Renew
    } else {
        RenewalRight::Withhold
    }
}

/// The member that renews the task leases of a worker: the one with the highest digest of both names.
#[must_use]
pub fn rendezvous_owner<'a>(
    worker: &WorkerId,
    members: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    let rank = |member: &&InstanceId| Digest::of(format!("{member}/{worker}").as_bytes());
    members.into_iter().max_by_key(rank)
}
