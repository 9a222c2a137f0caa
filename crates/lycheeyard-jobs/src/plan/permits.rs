use crate::{WorkerKey, scheduler::Permit};
use std::collections::{BTreeMap, BTreeSet};

/// The workers that may run a step.
#[derive(Clone, Debug)]
pub(super) enum Permits {
    /// Any worker of the service; no ticket is needed.
    All,
    /// The workers that the advisor allows. The advisor has not been asked about a worker that is missing here.
    Advised(BTreeMap<WorkerKey, Permit>),
    /// Any worker that the advisor has not denied; none of them has a ticket.
    NotDenied {
        /// The workers that may not run the step.
        denied: BTreeSet<WorkerKey>,
    },
}

impl Permits {
    /// Whether the advisor decides which workers may run the step.
    pub fn is_advised(&self) -> bool {
        matches!(self, Self::Advised(_) | Self::NotDenied { .. })
    }

    /// The same, if the advisor allows all workers that it has not been asked about.
    pub fn assuming_allowed(&self) -> Self {
        let Self::Advised(permits) = self else {
            return self.clone();
        };
        let denied = permits
            .iter()
            .filter(|(_, permit)| **permit == Permit::Denied);
        Self::NotDenied {
            denied: denied.map(|(worker, _)| worker.clone()).collect(),
        }
    }

    /// Returns the permit of a worker; `None` if the advisor has to be asked first.
    pub fn get(&self, worker: &WorkerKey) -> Option<Permit> {
        match self {
            Self::All => Some(Permit::Valid),
            Self::Advised(permits) => permits.get(worker).copied(),
            Self::NotDenied { denied } if denied.contains(worker) => Some(Permit::Denied),
            Self::NotDenied { .. } => Some(Permit::Expired),
        }
    }

    /// Whether a worker may run the step, now or after its ticket is renewed.
    pub fn allows(&self, worker: &WorkerKey) -> bool {
        matches!(self.get(worker), Some(Permit::Valid | Permit::Expired))
    }

    /// Whether tasks may start on a worker now, which needs a valid ticket.
    pub fn has_ticket(&self, worker: &WorkerKey) -> bool {
        self.get(worker) == Some(Permit::Valid)
    }
}
