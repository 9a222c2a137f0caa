use lycheeyard_protocol::{DataCentreId, InstanceId};

/// The identity of the instance that a router belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterSettings {
    /// The instance's id.
    pub instance: InstanceId,
    /// The instance's data centre.
    pub data_centre: DataCentreId,
}
