use super::{JobScheduler, Now};
use crate::{AdvicePolicy, BootTime, StepKey, Ticket, WorkerKey};
use lycheeyard_protocol::{JobId, WorkerId};
use std::{collections::BTreeMap, time::Duration};

/// A ticket is not used during this time before it expires, so that a start order reaches the worker in time.
const TICKET_MARGIN: Duration = Duration::from_millis(400);
/// The margin is at most the remaining validity of the ticket divided by this.
const TICKET_MARGIN_DIVISOR: u32 = 4;
/// For how long room may be held for a step that has no valid tickets for it, until the advisor answers.
const MAX_HOLD_WITHOUT_TICKETS: Duration = Duration::from_secs(1);
/// Delay before the next request after one that failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);

/// A request to the advisor: which of these workers may run a step?
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// The candidate workers.
    pub workers: Vec<WorkerKey>,
    /// The queue's advice settings, among them how long the advisor takes.
    pub policy: AdvicePolicy,
}

/// The answer of the advisor to an [`AdviceRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceAnswer {
    /// The tickets of the workers that may run the step. The other workers of the request may not.
    pub tickets: BTreeMap<WorkerId, Ticket>,
    /// When the tickets expire.
    pub expires_at: BootTime,
}

/// Whether the advisor allows a worker to run a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Permit {
    /// The worker may not run the step.
    Denied,
    /// The worker may run the step, but its ticket must be renewed first.
    Expired,
    /// The worker may run the step, and its ticket can be used.
    Valid,
}

/// Cached decisions of the advisor.
///
/// Only one request is in flight at a time, so that each request is for the step that is most urgent at that moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceCache {
    steps: BTreeMap<StepKey, StepAdvice>,
    /// The step of the request in flight.
    in_flight: Option<StepKey>,
    /// Whether the last request failed.
    has_failed: bool,
    /// A request that the driver has not taken yet.
    pending_request: Option<AdviceRequest>,
    /// No request is made before this, because the last one failed.
    backoff_until: BootTime,
}

/// Cached decisions of the advisor for one step.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    verdicts: BTreeMap<WorkerKey, Verdict>,
    requested_at: BootTime,
    /// When the last request for the step failed; `None` if it was answered.
    failed_at: Option<BootTime>,
    /// Until when room may be held for the step without valid tickets; `None` if it has not been since the last answer.
    hold_until: Option<BootTime>,
}

#[derive(Clone, Debug)]
enum Verdict {
    Denied,
    /// The ticket, and the time after which it is not used any more.
    Allowed(Ticket, BootTime),
}

impl Verdict {
    fn permit(&self, now: BootTime) -> Permit {
        match self {
            Self::Denied => Permit::Denied,
            Self::Allowed(_, last_use) if last_use.is_past(now) => Permit::Expired,
            Self::Allowed(..) => Permit::Valid,
        }
    }
}

impl AdviceCache {
    /// The cached permits of the workers for a step.
    pub fn permits(&self, step: &StepKey, now: BootTime) -> BTreeMap<WorkerKey, Permit> {
        let verdicts = self.steps.get(step).map(|advice| advice.verdicts.iter());
        let verdicts = verdicts.into_iter().flatten();
        verdicts
            .map(|(worker, verdict)| (worker.clone(), verdict.permit(now)))
            .collect()
    }

    /// The ticket for a worker, if there is one that can be used at `now`.
    pub fn ticket(&self, step: &StepKey, worker: &WorkerKey, now: BootTime) -> Option<Ticket> {
        let verdict = self.steps.get(step)?.verdicts.get(worker)?;
        match verdict {
            Verdict::Allowed(ticket, _) if verdict.permit(now) == Permit::Valid => {
                Some(ticket.clone())
            }
            _ => None,
        }
    }

    /// Discards the decision for a worker that did not accept its ticket, so that it is requested again.
    pub fn discard_ticket(&mut self, step: &StepKey, worker: &WorkerKey) {
        if let Some(advice) = self.steps.get_mut(step) {
            advice.verdicts.remove(worker);
        }
    }

    /// Discards the decisions for all steps of a job.
    pub fn remove_job(&mut self, job: &JobId) {
        self.steps.retain(|step, _| step.job != *job);
    }

    /// Whether a request may be made: none is in flight, and the backoff after a failure is over.
    pub fn may_request(&self, now: BootTime) -> bool {
        self.in_flight.is_none() && self.backoff_until.is_past(now)
    }

    /// When advice on a step was last requested.
    pub fn requested_at(&self, step: &StepKey) -> Option<BootTime> {
        self.steps.get(step).map(|advice| advice.requested_at)
    }

    /// Whether the last request failed. The next one is then made for the step whose requests have not failed for longest, so that a step
    /// whose requests fail each time does not keep the others from advice.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// When the last request for a step failed; `None` if it was answered or there was none.
    pub fn failed_at(&self, step: &StepKey) -> Option<BootTime> {
        self.steps.get(step).and_then(|advice| advice.failed_at)
    }

    /// Returns until when room may be held for a step that has no valid tickets for it. The deadline is set when it is first held, and
    /// removed by the next answer.
    pub fn hold_without_tickets(&mut self, step: &StepKey, now: BootTime) -> BootTime {
        let advice = self.steps.entry(step.clone()).or_default();
        *advice
            .hold_until
            .get_or_insert_with(|| now.after(MAX_HOLD_WITHOUT_TICKETS))
    }

    /// Whether no room is held for a step until its tickets are valid.
    pub fn needs_tickets_first(&self, step: &StepKey, now: BootTime) -> bool {
        let advice = self.steps.get(step);
        let hold_until = advice.and_then(|advice| advice.hold_until);
        hold_until.is_some_and(|until| until.is_past(now))
    }

    /// Queues a request for the driver.
    pub fn request(&mut self, request: AdviceRequest, now: BootTime) {
        let advice = self.steps.entry(request.step.clone()).or_default();
        advice.requested_at = now;
        self.in_flight = Some(request.step.clone());
        self.pending_request = Some(request);
    }
}

impl JobScheduler {
    /// Takes the request that is to be sent to the advisor, if there is one.
    pub fn take_advice_request(&mut self) -> Option<AdviceRequest> {
        self.advice.pending_request.take()
    }

    /// Applies the answer of the advisor to a request.
    pub fn advice_answered(&mut self, request: &AdviceRequest, answer: &AdviceAnswer, now: Now) {
        self.advice.in_flight = None;
        self.advice.has_failed = false;
        self.plan_due = true;
        // The entry is missing if the job has ended in the meantime.
        let Some(advice) = self.advice.steps.get_mut(&request.step) else {
            return;
        };
        advice.failed_at = None;
        advice.hold_until = None;
        let validity = answer.expires_at.since(now.boot);
        let margin = TICKET_MARGIN.min(validity / TICKET_MARGIN_DIVISOR);
        let last_use = now.boot.after(validity.saturating_sub(margin));
        for worker in &request.workers {
            let ticket = answer.tickets.get(&worker.id);
            let verdict = ticket.map_or(Verdict::Denied, |ticket| {
                Verdict::Allowed(ticket.clone(), last_use)
            });
            advice.verdicts.insert(worker.clone(), verdict);
        }
    }

    /// Records that a request to the advisor failed, and delays the next one.
    pub fn advice_failed(&mut self, now: Now) {
        let failed = self.advice.in_flight.take();
        let failed = failed.and_then(|step| self.advice.steps.get_mut(&step));
        if let Some(advice) = failed {
            advice.failed_at = Some(now.boot);
        }
        self.advice.has_failed = true;
        self.advice.backoff_until = now.boot.after(FAILURE_BACKOFF);
    }
}
