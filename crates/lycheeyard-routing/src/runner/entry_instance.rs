use lycheeyard_protocol::{DataCentreId, Instance, InstanceId, InstanceRole, InstanceState};
use std::net::SocketAddr;

/// An entry instance of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct EntryInstance {
    pub instance: InstanceId,
    pub data_centre: DataCentreId,
    pub address: SocketAddr,
    pub peer_address: Option<SocketAddr>,
    pub leaving: bool,
}

impl EntryInstance {
    /// Reads a line of the list; none when it is not an entry instance.
    pub fn read(instance: &Instance) -> Option<Self> {
        if instance.role != InstanceRole::Entry {
            return None;
        }
        Some(Self {
            instance: instance.name.parse().ok()?,
            data_centre: instance.data_centre.clone(),
            address: instance.address,
            peer_address: instance.peer_address,
            leaving: instance.state == InstanceState::Leaving,
        })
    }
}
