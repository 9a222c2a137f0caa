use super::AdviceError;
use lycheeyard_jobs::{StepKey, Ticket, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::{collections::BTreeMap, future::Future, time::Duration};
use tokio::time::Instant;

/// What the advisor says of the workers that it was asked about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Advice {
    /// The workers that may run the step.
    pub tickets: BTreeMap<WorkerId, Ticket>,
    /// How long the tickets are in force from the answer on, if it says so.
    pub validity: Option<Duration>,
}

/// Decides which workers may run a step.
pub trait PlacementAdvisor: Clone + Send + Sync + 'static {
    /// Asks about at most a hundred workers.
    ///
    /// # Errors
    /// Fails when there is no advice.
    fn advise(
        &self,
        step: &StepKey,
        workers: &[WorkerKey],
        deadline: Instant,
    ) -> impl Future<Output = Result<Advice, AdviceError>> + Send;
}
