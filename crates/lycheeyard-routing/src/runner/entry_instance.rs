use lycheeyard_protocol::{DataCentreId, Instance, InstanceId, InstanceRole, InstanceState};
use std::net::SocketAddr;

/// An entry instance from the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct EntryInstance {
    pub instance: InstanceId,
    pub data_centre: DataCentreId,
    pub address: SocketAddr,
    pub peer_address: Option<SocketAddr>,
    pub is_leaving: bool,
}

impl EntryInstance {
    /// Converts an item of the list; returns `None` if it is not an entry instance or its name is invalid.
    pub fn from_instance(instance: &Instance) -> Option<Self> {
        if instance.role != InstanceRole::Entry {
            return None;
        }
        Some(Self {
            instance: instance.name.parse().ok()?,
            data_centre: instance.data_centre.clone(),
            address: instance.address,
            peer_address: instance.peer_address,
            is_leaving: instance.state == InstanceState::Leaving,
        })
    }
}
