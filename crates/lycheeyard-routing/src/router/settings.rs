use lycheeyard_protocol::{DataCentreId, InstanceId};

/// Who routes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterSettings {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}
