use super::AdviceError;
use lycheeyard_jobs::{StepKey, Ticket, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::{collections::BTreeMap, future::Future, time::Duration};
use tokio::time::Instant;

/// The advisor's decision on the workers of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Advice {
    /// The tickets of the workers that may run the step; the others may not.
    pub tickets: BTreeMap<WorkerId, Ticket>,
    /// How long the tickets are valid from the time of the answer, if the advisor states it.
    pub validity: Option<Duration>,
}

/// Decides which workers may run a step.
pub trait PlacementAdvisor: Clone + Send + Sync + 'static {
    /// Requests a decision on at most 100 workers.
    ///
    /// # Errors
    /// Returns an error if the advisor gives no decision.
    fn advise(
        &self,
        step: &StepKey,
        workers: &[WorkerKey],
        deadline: Instant,
    ) -> impl Future<Output = Result<Advice, AdviceError>> + Send;
}
