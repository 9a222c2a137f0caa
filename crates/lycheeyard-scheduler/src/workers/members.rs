use lycheeyard_protocol::InstanceId;
use std::collections::BTreeSet;

/// The other entry instances of a data centre, as one instance observes them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DataCentreMembers {
    /// The peers that answer heartbeats.
    pub live: BTreeSet<InstanceId>,
    /// Whether a live peer holds the scheduler lease.
    pub peer_holds_lease: bool,
    /// Whether the instance list names another entry instance, live or not.
    pub others_listed: bool,
}
