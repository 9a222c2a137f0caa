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

/// The time allowed for the call in addition to the advisor's decision time.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Requests advice and sends the result to the scheduling loop.
pub(super) struct AdviceCaller<A, C> {
    pub advisor: A,
    pub clock: C,
    pub events: EventSender,
}

impl<A: PlacementAdvisor, C: Clock> AdviceCaller<A, C> {
    /// Requests advice for one step.
    pub async fn request(self, request: AdviceRequest) {
        let result = self.try_request(&request).await;
        record_advice(result.is_ok());
        let event = match result {
            Ok(answer) => {
                info!(step = %request.step, asked = request.workers.len(), allowed = answer.tickets.len(), "advice: answered");
                Event::Advised(Box::new(request), answer)
            }
            Err(err) => {
                warn!(step = %request.step, asked = request.workers.len(), %err, "advice: the request failed");
                Event::AdviceFailed
            }
        };
        // The receiver is dropped at the end of the term; the event is then obsolete.
        let _ = self.events.send(event);
    }

    async fn try_request(&self, request: &AdviceRequest) -> Result<AdviceAnswer, AdviceError> {
        let deadline = Instant::now() + decision_time(request) + ANSWER_MARGIN;
        let workers = &request.workers;
        let advice = self
            .advisor
            .advise(&request.step, workers, deadline)
            .await?;
        let default_validity = Duration::from_millis(request.policy.validity_ms);
        let validity = advice.validity.unwrap_or(default_validity);
        Ok(AdviceAnswer {
            tickets: advice.tickets,
            expires_at: self.clock.boot().after(validity),
        })
    }
}

/// Returns the time that the advisor needs for a decision according to the policy.
fn decision_time(request: &AdviceRequest) -> Duration {
    let workers = u64::try_from(request.workers.len()).unwrap_or(u64::MAX);
    let all_workers_ms = request.policy.per_worker_ms.saturating_mul(workers);
    Duration::from_millis(request.policy.decision_ms.saturating_add(all_workers_ms))
}
