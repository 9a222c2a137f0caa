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
use lycheeyard_platform::Store;
use lycheeyard_policy::try_timeout;
use lycheeyard_protocol::Outcome;
use std::sync::Arc;
use tokio::time::Instant;

/// Tries of one request, those that sent nothing included.
const MAX_TRIES: u32 = 6;

/// What follows a try.
enum Step {
    Return(Result<RouteAnswer, RouteError>),
    Retry {
        freshness: Freshness,
        avoid: Option<usize>,
        last: RouteError,
    },
}

impl<S: Store> Router<S> {
    /// Tries runners until there is a whole answer, the budget is used up or the deadline has passed.
    pub(super) async fn route_idempotent(
        &self,
        req: &RouteRequest,
    ) -> Result<RouteAnswer, RouteError> {
        self.shared.deposit();
        let mut freshness = Freshness::Trusted;
        let mut avoid = None;
        let mut failed: Option<RouteError> = None;
        for tried in 0..MAX_TRIES {
            let permit = match self.shared.take_slot(req, avoid).await {
                Ok(permit) => permit,
                // An earlier try may have run, so that the refusal of a slot is not the whole truth.
                Err(refused) => return Err(failed.unwrap_or(refused)),
            };
            match self.try_once(req, permit, freshness, tried).await {
                Step::Return(result) => return result,
                Step::Retry {
                    freshness: next,
                    avoid: position,
                    last,
                } => {
                    freshness = next;
                    avoid = position;
                    failed = Some(worse(failed, last));
                }
            }
        }
        Err(failed.unwrap_or_else(|| RouteError::Unreachable {
            upstream: req.service.to_string(),
        }))
    }

    async fn try_once(
        &self,
        req: &RouteRequest,
        permit: SlotPermit,
        freshness: Freshness,
        tried: u32,
    ) -> Step {
        let now = Instant::now();
        let remaining = req.deadline.saturating_duration_since(now);
        let latency = self.shared.slots.latency(&req.service);
        let soft = now + try_timeout(latency, tried, remaining);
        let limits = TryLimits {
            freshness,
            head_until: if self.shared.has_retry() {
                soft
            } else {
                req.deadline
            },
            deadline: req.deadline,
        };
        let avoid = Some(permit.position());
        let outcome = self.shared.exchange_with(req, permit, limits).await;
        let now = Instant::now();
        match outcome {
            (Try::Answered(answer), runner) => Step::Return(Ok(RouteAnswer {
                source: AnswerSource::Runner(runner.id.clone()),
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
            })),
            (Try::NotSent(last), _) if now < req.deadline => Step::Retry {
                freshness: Freshness::Trusted,
                avoid,
                last,
            },
            (Try::MayHaveRun(last), _) if now < req.deadline && self.shared.may_retry() => {
                Step::Retry {
                    freshness: Freshness::Trusted,
                    avoid,
                    last,
                }
            }
            (Try::Silent(last), _) if now < req.deadline && self.shared.may_retry() => {
                Step::Retry {
                    freshness: Freshness::New,
                    avoid,
                    last,
                }
            }
            (Try::NotSent(err) | Try::MayHaveRun(err) | Try::Silent(err), _) => {
                Step::Return(Err(err))
            }
        }
    }
}

/// The failure that says more of what may have happened.
fn worse(earlier: Option<RouteError>, last: RouteError) -> RouteError {
    match earlier {
        Some(earlier) if earlier.outcome() == Outcome::Unknown => earlier,
        _ => last,
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
                Try::MayHaveRun(_) | Try::Silent(_) => {}
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
