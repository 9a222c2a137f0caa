use crate::{DataCentreId, Epoch, EvacuationStatus, InstanceId, JobRecord, Revision};
use serde::{Deserialize, Serialize};

/// The status that an entry instance reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The configuration revision that is in force at the instance.
    pub revision: Revision,
    /// The epoch of the scheduler lease that the instance holds, if any.
    pub scheduler_epoch: Option<Epoch>,
    /// The requests that the instance has in flight at runners of its data centre.
    #[serde(default)]
    pub requests_in_flight: u32,
}

/// The status of an entry instance and its live peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusReport {
    /// The instance that answers.
    pub instance: InstanceStatus,
    /// Its live peers.
    pub peers: Vec<InstanceStatus>,
    /// The data centres that are evacuated according to the configuration in force at the instance that answers.
    #[serde(default)]
    pub evacuations: Vec<EvacuationStatus>,
}

/// A job as the API returns it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// The durable record.
    pub record: JobRecord,
}
