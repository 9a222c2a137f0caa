use super::{JobScheduler, Now};
use crate::{AdvicePolicy, BootTime, StepKey, Ticket, WorkerKey};
use lycheeyard_protocol::{JobId, WorkerId};
use std::{collections::BTreeMap, time::Duration};

/// A ticket is used only while it stays in force for this much longer, so that an order does not come too late,
const TICKET_MARGIN: Duration = Duration::from_millis(400);
/// or for one part in so many of its time, if that is less.
const MARGIN_DIVISOR: u32 = 4;
/// After a request that got no answer the advisor is left alone for this long.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(300);

/// Asks the advisor which of some workers may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// The workers in question.
    pub workers: Vec<WorkerKey>,
    /// How long the advisor takes.
    pub policy: AdvicePolicy,
}

/// What the advisor answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceAnswer {
    /// The workers that may run the step; the others that were asked about may not.
    pub tickets: BTreeMap<WorkerId, Ticket>,
    /// When the tickets are no longer in force.
    pub expires_at: BootTime,
}

/// What the advisor has said of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Permit {
    /// It may not run the step.
    Denied,
    /// It may, but the ticket has to be renewed.
    Expired,
    /// It may, and the ticket is in force.
    Valid,
}

/// What the advisor has said; one request is under way at a time, so that the next is the most urgent one then.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceBook {
    steps: BTreeMap<StepKey, StepAdvice>,
    is_asking: bool,
    /// A request that has not been taken by the driver.
    to_send: Option<AdviceRequest>,
    /// Nothing is asked before this.
    paused_until: BootTime,
}

/// What the advisor has said of the workers for one step.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    verdicts: BTreeMap<WorkerKey, Verdict>,
    asked_at: BootTime,
}

#[derive(Clone, Debug)]
enum Verdict {
    Denied,
    /// With the time after which the ticket is not used any more.
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

impl AdviceBook {
    /// What is known of the workers for a step.
    pub fn permits(&self, step: &StepKey, now: BootTime) -> BTreeMap<WorkerKey, Permit> {
        let verdicts = self.steps.get(step).map(|advice| advice.verdicts.iter());
        let verdicts = verdicts.into_iter().flatten();
        verdicts
            .map(|(worker, verdict)| (worker.clone(), verdict.permit(now)))
            .collect()
    }

    /// The ticket for a worker, if one is in force.
    pub fn ticket(&self, step: &StepKey, worker: &WorkerKey, now: BootTime) -> Option<Ticket> {
        let verdict = self.steps.get(step)?.verdicts.get(worker)?;
        match verdict {
            Verdict::Allowed(ticket, _) if verdict.permit(now) == Permit::Valid => {
                Some(ticket.clone())
            }
            _ => None,
        }
    }

    /// Forgets what was said of a worker that does not accept its ticket.
    pub fn drop_ticket(&mut self, step: &StepKey, worker: &WorkerKey) {
        if let Some(advice) = self.steps.get_mut(step) {
            advice.verdicts.remove(worker);
        }
    }

    /// Forgets the steps of a job.
    pub fn forget_job(&mut self, job: &JobId) {
        self.steps.retain(|step, _| step.job != *job);
    }

    /// Whether the advisor may be asked now.
    pub fn may_request(&self, now: BootTime) -> bool {
        !self.is_asking && self.paused_until.is_past(now)
    }

    /// When the advisor was last asked about a step.
    pub fn requested_at(&self, step: &StepKey) -> Option<BootTime> {
        self.steps.get(step).map(|advice| advice.asked_at)
    }

    /// Puts a request forward.
    pub fn request(&mut self, request: AdviceRequest, now: BootTime) {
        let advice = self.steps.entry(request.step.clone()).or_default();
        advice.asked_at = now;
        self.is_asking = true;
        self.to_send = Some(request);
    }
}

impl JobScheduler {
    /// Takes the request to the advisor that is due.
    pub fn take_advice_request(&mut self) -> Option<AdviceRequest> {
        self.advice.to_send.take()
    }

    /// Takes up what the advisor answered.
    pub fn advice_answered(&mut self, request: &AdviceRequest, answer: &AdviceAnswer, now: Now) {
        self.advice.is_asking = false;
        self.plan_due = true;
        // The job may have ended meanwhile.
        let Some(advice) = self.advice.steps.get_mut(&request.step) else {
            return;
        };
        let validity = answer.expires_at.since(now.boot);
        let margin = TICKET_MARGIN.min(validity / MARGIN_DIVISOR);
        let last_use = now.boot.after(validity.saturating_sub(margin));
        for worker in &request.workers {
            let ticket = answer.tickets.get(&worker.id);
            let verdict = ticket.map_or(Verdict::Denied, |ticket| {
                Verdict::Allowed(ticket.clone(), last_use)
            });
            advice.verdicts.insert(worker.clone(), verdict);
        }
    }

    /// Takes note that a request to the advisor brought nothing.
    pub fn advice_failed(&mut self, now: Now) {
        self.advice.is_asking = false;
        self.advice.paused_until = now.boot.after(PAUSE_AFTER_FAILURE);
    }
}
