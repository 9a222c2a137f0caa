use crate::LeavingRunner;
use lycheeyard_protocol::{DataCentreId, InstanceId, OrganisationId, RunnerId, ServiceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an organisation uses at one instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationUsage {
    /// Requests running.
    pub running: u32,
    /// Requests accepted in the last second.
    pub rate: u32,
}

/// Slots that an instance lends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotOffer {
    /// The service.
    pub service: ServiceId,
    /// The runner.
    pub runner: RunnerId,
    /// The number of slots.
    pub slots: u32,
    /// Milliseconds after the pulse that asked for them was sent at which the loan ends.
    pub expires_in_ms: u64,
}

/// What instances of one data centre tell each other to share runners and limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What the organisations use there.
    pub usage: BTreeMap<OrganisationId, OrganisationUsage>,
    /// The runners that it knows to leave.
    pub leaving: Vec<LeavingRunner>,
    /// The slots that it would like to borrow.
    pub wanted: BTreeMap<ServiceId, u32>,
    /// The slots that it lends to the instance that it answers.
    pub offers: Vec<SlotOffer>,
}
