use lycheeyard_protocol::InstanceId;
use std::collections::BTreeSet;

/// What an instance knows of the other entry instances of its data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DataCentreMembers {
    /// The peers that answer heartbeats.
    pub live: BTreeSet<InstanceId>,
    /// Whether one of them holds the scheduler lease.
    pub peer_holds_lease: bool,
    /// Whether the instance list names another entry instance.
    pub others_listed: bool,
}
