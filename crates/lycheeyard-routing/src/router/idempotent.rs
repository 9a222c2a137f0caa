use super::Router;
use crate::{
    AnswerSource, RouteAnswer, RouteError, RouteRequest, Runner,
    connection::Freshness,
    exchange::{TryLimits, TryOutcome, UpstreamAnswer, exchange},
    members::{refresh, refresh_if_config_changed},
    request::header_name::RUNNER_STATE,
    router::RouterShared,
    slots::SlotPermit,
    upstream::Upstream,
};
use lycheeyard_clients::Store;
use lycheeyard_policy::try_timeout;
use lycheeyard_protocol::Outcome;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Maximum number of tries of one request, including tries that sent nothing.
const MAX_TRIES: u32 = 6;

/// The next step after a try.
enum NextStep {
    Return(Result<RouteAnswer, RouteError>),
    Retry(RouteError),
}

impl<S: Store> Router<S> {
    /// Tries runners until there is a complete answer, the retry budget is exhausted or the deadline has passed.
    pub(super) async fn route_idempotent(
        &self,
        req: &RouteRequest,
    ) -> Result<RouteAnswer, RouteError> {
        self.shared.count_request();
        let mut avoid = None;
        let mut last_error = None;
        for try_count in 0..MAX_TRIES {
            let permit = match self.shared.acquire_slot(req, avoid).await {
                Ok(permit) => permit,
                // An earlier try may have run, so its error takes precedence over the refusal of a slot.
                Err(err) => return Err(last_error.unwrap_or(err)),
            };
            avoid = Some(permit.position());
            let outcome = self.try_hedged(req, permit, try_count).await;
            match self.decide(req, outcome) {
                NextStep::Return(Err(err)) => return Err(preferred_error(last_error, err)),
                NextStep::Return(answer) => return answer,
                NextStep::Retry(last) => last_error = Some(preferred_error(last_error, last)),
            }
        }
        Err(last_error.unwrap_or_else(|| RouteError::Unreachable {
            upstream: req.service.to_string(),
        }))
    }

    fn decide(&self, req: &RouteRequest, outcome: (TryOutcome, Arc<Runner>)) -> NextStep {
        let in_time = Instant::now() < req.deadline;
        match outcome {
            (TryOutcome::Answered(answer), runner) => {
                NextStep::Return(Ok(answer.into_route_answer(&runner)))
            }
            (TryOutcome::NotSent(err), _) if in_time => NextStep::Retry(err),
            (TryOutcome::MayHaveRun(err), _) if in_time && self.shared.withdraw_retry() => {
                NextStep::Retry(err)
            }
            (TryOutcome::NotSent(err) | TryOutcome::MayHaveRun(err), _) => {
                NextStep::Return(Err(err))
            }
        }
    }

    /// Tries a runner and, if it does not answer in time and the retry budget allows it, sends a hedged request to a
    /// second one. The first complete answer is returned; the other connection is closed.
    async fn try_hedged(
        &self,
        req: &RouteRequest,
        permit: SlotPermit,
        try_count: u32,
    ) -> (TryOutcome, Arc<Runner>) {
        let now = Instant::now();
        let remaining = req.deadline.saturating_duration_since(now);
        let latency = self.shared.slots.latency(&req.service);
        let limits = TryLimits {
            freshness: Freshness::Usable,
            stalled_at: now + try_timeout(latency, try_count, remaining),
            deadline: req.deadline,
        };
        let avoid = permit.position();
        let first = self.shared.exchange_with(req, permit, limits);
        tokio::pin!(first);
        if let Ok(outcome) = timeout_at(limits.stalled_at, &mut first).await {
            return outcome;
        }
        if !self.shared.withdraw_retry() {
            return first.await;
        }
        let second = self.hedged_try(req, avoid);
        tokio::pin!(second);
        tokio::select! {
            outcome = &mut first => match outcome.0 {
                TryOutcome::Answered(_) => outcome,
                _ => preferred_outcome(outcome, second.await),
            },
            hedged = &mut second => match hedged {
                Some((TryOutcome::Answered(answer), runner)) => {
                    (TryOutcome::Answered(answer), runner)
                }
                hedged => preferred_outcome(first.await, hedged),
            },
        }
    }

    async fn hedged_try(
        &self,
        req: &RouteRequest,
        avoid: usize,
    ) -> Option<(TryOutcome, Arc<Runner>)> {
        let permit = self.shared.acquire_slot(req, Some(avoid)).await.ok()?;
        let limits = TryLimits {
            freshness: Freshness::New,
            stalled_at: req.deadline,
            deadline: req.deadline,
        };
        Some(self.shared.exchange_with(req, permit, limits).await)
    }
}

/// Prefers an answer to a failure, and the failure of a try that may have run to one that sent nothing.
fn preferred_outcome(
    first: (TryOutcome, Arc<Runner>),
    second: Option<(TryOutcome, Arc<Runner>)>,
) -> (TryOutcome, Arc<Runner>) {
    match (&first.0, second) {
        (TryOutcome::Answered(_), _) | (_, None) => first,
        (_, Some(second)) if matches!(second.0, TryOutcome::Answered(_)) => second,
        (TryOutcome::MayHaveRun(_), Some(_)) => first,
        (TryOutcome::NotSent(_), Some(second)) => second,
    }
}

/// Prefers an earlier error with an unknown outcome to the last error.
fn preferred_error(earlier: Option<RouteError>, last: RouteError) -> RouteError {
    match earlier {
        Some(earlier) if earlier.outcome() == Outcome::Unknown => earlier,
        _ => last,
    }
}

impl UpstreamAnswer {
    /// Converts the answer into one for the caller.
    pub(crate) fn into_route_answer(self, runner: &Runner) -> RouteAnswer {
        RouteAnswer {
            source: AnswerSource::Runner(runner.id.clone()),
            status: self.status,
            headers: self.headers,
            body: self.body,
        }
    }
}

impl<S: Store> RouterShared<S> {
    /// Waits for a slot of a runner, under the configuration that is in force when the wait begins.
    pub(crate) async fn acquire_slot(
        &self,
        req: &RouteRequest,
        avoid: Option<usize>,
    ) -> Result<SlotPermit, RouteError> {
        refresh_if_config_changed(self);
        let acquired = self
            .slots
            .acquire(&req.service, &req.organisation, req.deadline, avoid);
        acquired.await.map_err(|refusal| RouteError::NoSlot {
            service: req.service.clone(),
            refusal,
        })
    }

    /// Performs one exchange with the runner of a slot, and records the response time, a failure to connect, or that
    /// the runner is leaving.
    pub(crate) async fn exchange_with(
        &self,
        req: &RouteRequest,
        permit: SlotPermit,
        limits: TryLimits,
    ) -> (TryOutcome, Arc<Runner>) {
        let runner = permit.runner.clone();
        let mut permit = Some(permit);
        let upstream = Upstream {
            name: runner.id.as_str(),
            data_centre: &self.settings.data_centre,
            pool: &runner.pool,
            config: &self.config,
        };
        let outcome = exchange(upstream, req, limits, &mut permit).await;
        if let Some(permit) = &mut permit {
            match &outcome {
                TryOutcome::Answered(_) => permit.record_answer(),
                TryOutcome::NotSent(RouteError::Evacuated(_)) | TryOutcome::MayHaveRun(_) => {}
                TryOutcome::NotSent(_) => permit.pause_runner(),
            }
        }
        if let TryOutcome::Answered(answer) = &outcome {
            self.record_leaving(answer, &runner);
        }
        (outcome, runner)
    }

    fn record_leaving(&self, answer: &UpstreamAnswer, runner: &Runner) {
        let incarnation_id = runner.incarnation_id();
        if answer.headers.contains_key(RUNNER_STATE) && !self.membership.is_leaving(&incarnation_id)
        {
            self.membership.mark_leaving(incarnation_id);
            refresh(self);
            self.refresh_needed.notify_one();
        }
    }
}
