use crate::RunnerIncarnation;
use lycheeyard_protocol::{DataCentreId, InstanceId, OrganisationId, RunnerId, ServiceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The usage of one organisation at one instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationUsage {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests accepted in the last second.
    pub rate: u32,
}

/// Request slots of a runner that an instance lends to a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotOffer {
    /// The service.
    pub service: ServiceId,
    /// The runner.
    pub runner: RunnerId,
    /// The number of slots.
    pub slots: u32,
    /// The duration of the loan in milliseconds, counted from when the borrower sent its usage report.
    pub expires_in_ms: u64,
}

/// The report that instances of one data centre exchange to share runners and request limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The usage of each organisation at the instance.
    pub usage: BTreeMap<OrganisationId, OrganisationUsage>,
    /// The runners that the instance has marked as leaving.
    pub leaving: Vec<RunnerIncarnation>,
    /// The number of slots of each service that the instance wants to borrow.
    pub wanted: BTreeMap<ServiceId, u32>,
    /// The slots that the instance lends to the receiver; set only in an answer.
    pub offers: Vec<SlotOffer>,
}
