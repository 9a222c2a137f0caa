use super::Router;
use crate::{
    AnswerSource, RouteAnswer, RouteError, RouteRequest, Runner,
    connection::Freshness,
    exchange::{Try, TryLimits, UpstreamAnswer, exchange},
    members::refresh,
    request::header_name::RUNNER_STATE,
    router::RouterShared,
    slots::SlotPermit,
};
use lycheeyard_clients::Store;
use lycheeyard_policy::try_timeout;
use lycheeyard_protocol::Outcome;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Tries of one request, those that sent nothing included.
const MAX_TRIES: u32 = 6;

/// What follows a try.
enum Step {
    Return(Result<RouteAnswer, RouteError>),
    Retry(RouteError),
}

impl<S: Store> Router<S> {
    /// Tries runners until there is a whole answer, the budget is used up or the deadline has passed.
    pub(super) async fn route_idempotent(
        &self,
        req: &RouteRequest,
    ) -> Result<RouteAnswer, RouteError> {
        self.shared.deposit();
        let mut avoid = None;
        let mut failed = None;
        for tried in 0..MAX_TRIES {
            let permit = match self.shared.take_slot(req, avoid).await {
                Ok(permit) => permit,
                // An earlier try may have run, so that the refusal of a slot is not the whole truth.
                Err(refused) => return Err(failed.unwrap_or(refused)),
            };
            avoid = Some(permit.position());
            let outcome = self.try_with_second(req, permit, tried).await;
            match self.decide(req, outcome) {
                Step::Return(Err(err)) => return Err(worse(failed, err)),
                Step::Return(answer) => return answer,
                Step::Retry(last) => failed = Some(worse(failed, last)),
            }
        }
        Err(failed.unwrap_or_else(|| RouteError::Unreachable {
            upstream: req.service.to_string(),
        }))
    }

    fn decide(&self, req: &RouteRequest, outcome: (Try, Arc<Runner>)) -> Step {
        let in_time = Instant::now() < req.deadline;
        match outcome {
            (Try::Answered(answer), runner) => Step::Return(Ok(answer.given_by(&runner))),
            (Try::NotSent(err), _) if in_time => Step::Retry(err),
            (Try::MayHaveRun(err), _) if in_time && self.shared.may_retry() => Step::Retry(err),
            (Try::NotSent(err) | Try::MayHaveRun(err), _) => Step::Return(Err(err)),
        }
    }

    /// Tries a runner and, where it is silent for too long and the budget allows it, a second one as well. The first
    /// whole answer is taken; the other connection is closed.
    async fn try_with_second(
        &self,
        req: &RouteRequest,
        permit: SlotPermit,
        tried: u32,
    ) -> (Try, Arc<Runner>) {
        let now = Instant::now();
        let remaining = req.deadline.saturating_duration_since(now);
        let latency = self.shared.slots.latency(&req.service);
        let limits = TryLimits {
            freshness: Freshness::Trusted,
            silent_at: now + try_timeout(latency, tried, remaining),
            deadline: req.deadline,
        };
        let avoid = permit.position();
        let first = self.shared.exchange_with(req, permit, limits);
        tokio::pin!(first);
        if let Ok(outcome) = timeout_at(limits.silent_at, &mut first).await {
            return outcome;
        }
        if !self.shared.may_retry() {
            return first.await;
        }
        let second = self.second_try(req, avoid);
        tokio::pin!(second);
        tokio::select! {
            outcome = &mut first => match outcome.0 {
                Try::Answered(_) => outcome,
                _ => more_certain(outcome, second.await),
            },
            other = &mut second => match other {
                Some((Try::Answered(answer), runner)) => (Try::Answered(answer), runner),
                other => more_certain(first.await, other),
            },
        }
    }

    async fn second_try(&self, req: &RouteRequest, avoid: usize) -> Option<(Try, Arc<Runner>)> {
        let permit = self.shared.take_slot(req, Some(avoid)).await.ok()?;
        let limits = TryLimits {
            freshness: Freshness::New,
            silent_at: req.deadline,
            deadline: req.deadline,
        };
        Some(self.shared.exchange_with(req, permit, limits).await)
    }
}

/// An answer rather than a failure, and the failure of a try that may have run rather than one that sent nothing.
fn more_certain(
    first: (Try, Arc<Runner>),
    second: Option<(Try, Arc<Runner>)>,
) -> (Try, Arc<Runner>) {
    match (&first.0, second) {
        (Try::Answered(_), _) | (_, None) => first,
        (_, Some(second)) if matches!(second.0, Try::Answered(_)) => second,
        (Try::MayHaveRun(_), Some(_)) => first,
        (Try::NotSent(_), Some(second)) => second,
    }
}

/// The failure that says more of what may have happened.
fn worse(earlier: Option<RouteError>, last: RouteError) -> RouteError {
    match earlier {
        Some(earlier) if earlier.outcome() == Outcome::Unknown => earlier,
        _ => last,
    }
}

impl UpstreamAnswer {
    /// The answer as the caller gets it.
    pub(crate) fn given_by(self, runner: &Runner) -> RouteAnswer {
        RouteAnswer {
            source: AnswerSource::Runner(runner.id.clone()),
            status: self.status,
            headers: self.headers,
            body: self.body,
        }
    }
}

impl<S: Store> RouterShared<S> {
    /// Waits for a slot of a runner.
    pub(crate) async fn take_slot(
        &self,
        req: &RouteRequest,
        avoid: Option<usize>,
    ) -> Result<SlotPermit, RouteError> {
        let taken = self
            .slots
            .take(&req.service, &req.organisation, req.deadline, avoid);
        taken.await.map_err(|refusal| RouteError::NoSlot {
            service: req.service.clone(),
            refusal,
        })
    }

    /// Carries one exchange with the runner of a slot out and takes in what it says of the runner.
    pub(crate) async fn exchange_with(
        &self,
        req: &RouteRequest,
        permit: SlotPermit,
        limits: TryLimits,
    ) -> (Try, Arc<Runner>) {
        let runner = permit.runner.clone();
        let mut held = Some(permit);
        let outcome = exchange(&runner.pool, runner.id.as_str(), req, limits, &mut held).await;
        if let Some(permit) = &mut held {
            match &outcome {
                Try::Answered(_) => permit.answered(),
                Try::NotSent(_) => permit.pause_runner(),
                Try::MayHaveRun(_) => {}
            }
        }
        if let Try::Answered(answer) = &outcome {
            self.note_leaving(answer, &runner);
        }
        (outcome, runner)
    }

    fn note_leaving(&self, answer: &UpstreamAnswer, runner: &Runner) {
        let life = runner.life();
        if answer.headers.contains_key(RUNNER_STATE) && !self.membership.is_leaving(&life) {
            self.membership.mark_leaving(life);
            refresh(self);
            self.news.notify_one();
        }
    }
}
