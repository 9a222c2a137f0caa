use super::event::{Event, EventSender};
use crate::{
    clock::Clock,
    metrics::record_advice,
    ports::{AdviceError, PlacementAdvisor},
};
use lycheeyard_jobs::{AdviceAnswer, AdviceRequest};
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// How much longer than the decision itself an answer may take.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Asks the advisor and tells the scheduling loop what it said.
pub(super) struct AdviceCaller<A, C> {
    pub advisor: A,
    pub clock: C,
    pub events: EventSender,
}

impl<A: PlacementAdvisor, C: Clock> AdviceCaller<A, C> {
    /// Sends one request.
    pub async fn ask(self, request: AdviceRequest) {
        let asked = self.try_ask(&request).await;
        record_advice(asked.is_ok());
        let event = match asked {
            Ok(answer) => {
                info!(step = %request.step, asked = request.workers.len(), allowed = answer.tickets.len(), "advice: answered");
                Event::Advised(Box::new(request), answer)
            }
            Err(err) => {
                warn!(step = %request.step, asked = request.workers.len(), %err, "advice: none");
                Event::AdviceFailed
            }
        };
        // After the end of the term nobody listens.
        let _ = self.events.send(event);
    }

    async fn try_ask(&self, request: &AdviceRequest) -> Result<AdviceAnswer, AdviceError> {
        let deadline = Instant::now() + decision_time(request) + ANSWER_MARGIN;
        let workers = &request.workers;
        let advice = self
            .advisor
            .advise(&request.step, workers, deadline)
            .await?;
        let usual = Duration::from_millis(request.policy.validity_ms);
        let validity = advice.validity.unwrap_or(usual);
        Ok(AdviceAnswer {
            tickets: advice.tickets,
            expires_at: self.clock.boot().after(validity),
        })
    }
}

/// How long the advisor takes to decide.
fn decision_time(request: &AdviceRequest) -> Duration {
    let workers = u64::try_from(request.workers.len()).unwrap_or(u64::MAX);
    let each = request.policy.per_worker_ms.saturating_mul(workers);
    Duration::from_millis(request.policy.decision_ms.saturating_add(each))
}
