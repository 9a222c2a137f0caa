use super::{SlotRefusal, WaiterKey};
use lycheeyard_protocol::{OrganisationId, ServiceId};

/// The right to send one request to one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The service.
    pub service: ServiceId,
    /// The organisation whose request it is.
    pub organisation: OrganisationId,
    /// The position of the runner in the service's set.
    pub runner: usize,
}

/// What becomes of a request that asks for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It has a slot.
    Start(Grant),
    /// It waits.
    Wait(WaiterKey),
    /// It gets none.
    Refuse(SlotRefusal),
}

/// The next decision on a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueueDecision<T> {
    /// It has a slot.
    Start(T, Grant),
    /// It is given up.
    Refuse(T, SlotRefusal),
}
