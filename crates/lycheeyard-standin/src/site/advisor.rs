use super::SimulatedSite;
use lycheeyard_jobs::{
    AdviceAnswer, AdviceRequest, BootTime, StartOrder, StepKey, Ticket, WorkerKey,
};
use lycheeyard_protocol::{JobId, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The time after which an unanswered request is reported to the scheduler as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// An advisor that decides which workers may run a step. It handles one request at a time.
#[derive(Clone, Debug, Default)]
pub struct SimulatedAdvisor {
    /// The workers that may run no step.
    pub denied: BTreeSet<WorkerId>,
    /// Whether the advisor leaves requests unanswered, so that they time out.
    pub is_silent: bool,
    /// The jobs about which the advisor leaves requests unanswered.
    pub unanswered_jobs: BTreeSet<JobId>,
    /// The number of workers in each answered request, in the order of the answers.
    pub request_sizes: Vec<usize>,
    /// Start orders that were sent without a valid ticket.
    pub refused_tickets: usize,
    call: Option<Call>,
    tickets: BTreeMap<(StepKey, WorkerKey), (Ticket, BootTime)>,
}

#[derive(Clone, Debug)]
struct Call {
    request: AdviceRequest,
    answered_at: BootTime,
    fails: bool,
}

impl SimulatedAdvisor {
    /// Whether an order has an unexpired ticket for its worker and step.
    pub(super) fn accepts(&self, order: &StartOrder, now: BootTime) -> bool {
        let key = (order.task.step.clone(), order.worker.clone());
        self.tickets.get(&key).is_some_and(|(ticket, expires_at)| {
            order.ticket.as_ref() == Some(ticket) && !expires_at.is_past(now)
        })
    }

    /// Drops the pending request of the previous scheduler term.
    pub(super) fn drop_call(&mut self) {
        self.call = None;
    }

    fn decide(&mut self, request: &AdviceRequest, now: BootTime) -> AdviceAnswer {
        let expires_at = now.after(Duration::from_millis(request.policy.validity_ms));
        let mut tickets = BTreeMap::new();
        for worker in &request.workers {
            if self.denied.contains(&worker.id) {
                continue;
            }
            let ticket = Ticket(format!("{}-{}-{}", request.step, worker.id, now.0));
            let key = (request.step.clone(), worker.clone());
            self.tickets.insert(key, (ticket.clone(), expires_at));
            tickets.insert(worker.id.clone(), ticket);
        }
        self.request_sizes.push(request.workers.len());
        AdviceAnswer {
            tickets,
            expires_at,
        }
    }
}

impl SimulatedSite {
    /// Whether the policy of any queue requires tickets of the advisor.
    #[must_use]
    pub fn has_advice(&self) -> bool {
        let mut queues = self.policy.queues.values();
        queues.any(|queue| queue.advice.is_some())
    }

    /// Delivers the answer that is due and accepts the next request.
    pub(super) fn advise(&mut self) {
        let now = self.now;
        let due = self
            .advisor
            .call
            .take_if(|call| call.answered_at.is_past(now.boot));
        if let Some(call) = due {
            if call.fails {
                self.scheduler.advice_failed(now);
            } else {
                let answer = self.advisor.decide(&call.request, now.boot);
                self.scheduler.advice_answered(&call.request, &answer, now);
            }
        }
        if let Some(request) = self.scheduler.take_advice_request() {
            let workers = u64::try_from(request.workers.len()).unwrap_or(u64::MAX);
            let policy = request.policy;
            let duration = policy.decision_ms + policy.per_worker_ms.saturating_mul(workers);
            let is_unanswered = self.advisor.unanswered_jobs.contains(&request.step.job);
            let fails = self.advisor.is_silent || is_unanswered;
            let duration = if fails {
                CALL_TIMEOUT
            } else {
                Duration::from_millis(duration)
            };
            self.advisor.call = Some(Call {
                request,
                answered_at: now.boot.after(duration),
                fails,
            });
        }
    }
}
