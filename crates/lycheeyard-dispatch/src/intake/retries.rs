use super::retry_budget::{RetryBudget, Turn};
use crate::ports::KvError;
use lycheeyard_clients::{Backoff, CallError};
use std::time::Duration;
use tokio::time::Instant;

/// The timeout of one attempt; it leaves time for another one before the caller's deadline.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The maximum number of attempts for one call of a store that refuses or cannot be reached.
const MAX_ATTEMPTS: u32 = 4;
/// After this many unanswered attempts the store counts as unresponsive, and waiting longer would not help the caller.
const MAX_UNANSWERED: u32 = 2;

/// Whether a call to the store is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RetryDecision {
    /// Retry now; the backoff has already passed.
    Retry,
    /// Return the outcome to the caller at once.
    GiveUp,
}

/// Counts the attempts to serve one call and decides on retries.
#[derive(Debug)]
pub(super) struct Retries {
    deadline: Instant,
    backoff: Backoff,
    failures: u32,
    unanswered: u32,
    unanswered_writes: u32,
    budget: RetryBudget,
    /// The turn in which this call is retried, once the store has refused it as beyond its rate.
    turn: Option<Turn>,
}

impl Retries {
    pub fn until(deadline: Instant, budget: &RetryBudget) -> Self {
        Self {
            deadline,
            backoff: Backoff::new(FIRST_PAUSE, ATTEMPT_TIMEOUT),
            failures: 0,
            unanswered: 0,
            unanswered_writes: 0,
            budget: budget.clone(),
            turn: None,
        }
    }

    /// Returns the deadline of the next attempt.
    pub fn next_deadline(&self) -> Instant {
        self.deadline.min(Instant::now() + ATTEMPT_TIMEOUT)
    }

    /// Returns the deadline of the caller.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Records a write attempt without an answer.
    pub async fn record_unanswered(&mut self) -> RetryDecision {
        self.unanswered += 1;
        self.unanswered_writes += 1;
        self.decide().await
    }

    /// Records a write attempt that certainly had no effect, or a failed read.
    pub async fn record_failure(&mut self, err: &KvError) -> RetryDecision {
        if err.is_over_rate() {
            return self.wait_for_rate().await;
        }
        if matches!(err, KvError::Rejected(_)) {
            return RetryDecision::GiveUp;
        }
        if is_unanswered(err) {
            self.unanswered += 1;
        }
        self.decide().await
    }

    /// Returns whether a write was left unanswered, so that it may still take effect.
    pub fn may_take_effect(&self) -> bool {
        self.unanswered_writes > 0
    }

    /// Waits until this call may be sent again to a store that gets more calls than it serves. The number of attempts is not limited,
    /// since the budget limits those of all calls.
    async fn wait_for_rate(&mut self) -> RetryDecision {
        if self.turn.is_some() {
            self.budget.record_refusal();
        } else {
            self.turn = self.budget.take_turn(self.deadline).await;
        }
        if self.turn.is_some() && self.budget.pause(self.deadline).await {
            RetryDecision::Retry
        } else {
            RetryDecision::GiveUp
        }
    }

    async fn decide(&mut self) -> RetryDecision {
        self.failures += 1;
        let is_late = Instant::now() + self.backoff.next_delay() >= self.deadline;
        if is_late || self.failures >= MAX_ATTEMPTS || self.unanswered >= MAX_UNANSWERED {
            return RetryDecision::GiveUp;
        }
        self.backoff.wait().await;
        RetryDecision::Retry
    }
}

fn is_unanswered(err: &KvError) -> bool {
    match err {
        KvError::NoAnswer(err) => {
            matches!(err, CallError::NoResponse(_) | CallError::ConnectionLost(_))
        }
        KvError::Late => true,
        KvError::Refused(_) | KvError::Rejected(_) => false,
    }
}
