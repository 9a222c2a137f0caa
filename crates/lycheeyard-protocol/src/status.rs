use crate::{DataCentreId, Epoch, InstanceId, JobRecord, Revision};
use serde::{Deserialize, Serialize};

/// What one entry instance says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The configuration revision that is in force there.
    pub revision: Revision,
    /// The scheduler epoch that it holds, if it does.
    pub scheduler_epoch: Option<Epoch>,
}

/// What an entry instance knows of itself and its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusReport {
    /// The instance that answers.
    pub instance: InstanceStatus,
    /// Its live peers.
    pub peers: Vec<InstanceStatus>,
}

/// A job as callers see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// The durable record.
    pub record: JobRecord,
}
