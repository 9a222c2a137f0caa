use super::{SlotRefusal, WaiterKey};
use lycheeyard_protocol::{OrganisationId, ServiceId};

/// The right to send one request to one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The service that the request is for.
    pub service: ServiceId,
    /// The organisation whose request it is.
    pub organisation: OrganisationId,
    /// The position of the runner in the service's [`RunnerSet`](super::RunnerSet).
    pub runner: usize,
}

/// The decision on a new request for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request gets a slot.
    Start(Grant),
    /// The request waits in the queue.
    Wait(WaiterKey),
    /// The request is rejected.
    Refuse(SlotRefusal),
}

/// A decision on a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueueDecision<T> {
    /// The request gets a slot.
    Start(T, Grant),
    /// The request is removed from the queue and rejected.
    Refuse(T, SlotRefusal),
}
