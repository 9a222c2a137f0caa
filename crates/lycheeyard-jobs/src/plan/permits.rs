use crate::{WorkerKey, scheduler::Permit};
use std::collections::BTreeMap;

/// The workers that may run a step.
#[derive(Clone, Debug)]
pub(super) enum Permits {
    /// Every worker of the service.
    Every,
    /// Those that the advisor allows; nothing is known of a worker that is missing.
    Advised(BTreeMap<WorkerKey, Permit>),
}

impl Permits {
    /// Whether the advisor decides.
    pub fn is_advised(&self) -> bool {
        matches!(self, Self::Advised(_))
    }

    /// What is known of a worker; none if the advisor has to be asked.
    pub fn of(&self, worker: &WorkerKey) -> Option<Permit> {
        match self {
            Self::Every => Some(Permit::Valid),
            Self::Advised(permits) => permits.get(worker).copied(),
        }
    }

    /// Whether a worker may run the step, once there is a ticket in force.
    pub fn allows(&self, worker: &WorkerKey) -> bool {
        matches!(self.of(worker), Some(Permit::Valid | Permit::Expired))
    }

    /// Whether tasks may start on a worker now.
    pub fn has_ticket(&self, worker: &WorkerKey) -> bool {
        self.of(worker) == Some(Permit::Valid)
    }
}
