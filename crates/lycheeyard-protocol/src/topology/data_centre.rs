use crate::{DataCentreId, PolicySettings, Rack, Worker};
use serde::{Deserialize, Serialize};

/// A data centre; its racks are adjacent in the order of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The data centre's name.
    pub id: DataCentreId,
    /// The racks in their fixed order.
    pub racks: Vec<Rack>,
    /// The policy of its scheduler.
    #[serde(default, skip_serializing_if = "PolicySettings::is_default")]
    pub policy: PolicySettings,
}

impl DataCentre {
    /// All workers, in rack order and then in worker order.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.racks.iter().flat_map(|rack| rack.workers.iter())
    }
}
