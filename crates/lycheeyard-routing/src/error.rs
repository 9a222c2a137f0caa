use lycheeyard_protocol::{Outcome, Problem, ProblemKind, RunnerId, ServiceId};
use thiserror::Error;

/// Why a request got no answer from a runner.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RouteError {
    /// No live runner serves the service in this data centre.
    #[error("no live runner serves {0} here")]
    NoRunner(ServiceId),
    /// No slot became free before the deadline.
    #[error("no slot of {0} became free before the deadline")]
    NoSlot(ServiceId),
    /// No connection could be opened, so that the request was not sent.
    #[error("runner {0} cannot be reached; the request was not sent")]
    Unreachable(RunnerId),
    /// The runner broke off after the request may have been sent.
    #[error("runner {0} broke off; the request may have run")]
    BrokenOff(RunnerId),
    /// The deadline passed while the runner had the request.
    #[error("runner {0} did not answer before the deadline; the request may have run")]
    TimedOut(RunnerId),
    /// A non-idempotent request cannot be claimed here.
    #[error("non-idempotent requests are not accepted yet")]
    ClaimsUnsupported,
}

impl RouteError {
    /// The error as the answer to the caller.
    #[must_use]
    pub fn problem(&self) -> Problem {
        const RETRY_AFTER_S: u32 = 1;
        let kind = match self {
            Self::NoRunner(_) | Self::Unreachable(_) => ProblemKind::NoUpstream,
            Self::NoSlot(_) => ProblemKind::Overloaded,
            Self::BrokenOff(_) => ProblemKind::UpstreamFailed,
            Self::TimedOut(_) => ProblemKind::DeadlineExceeded,
            Self::ClaimsUnsupported => ProblemKind::BadRequest,
        };
        let outcome = match self {
            Self::BrokenOff(_) | Self::TimedOut(_) => Outcome::Unknown,
            _ => Outcome::NotRun,
        };
        let problem = Problem::new(kind, outcome, self.to_string());
        match self {
            Self::NoRunner(_) | Self::NoSlot(_) | Self::Unreachable(_) => {
                problem.with_retry_after(RETRY_AFTER_S)
            }
            _ => problem,
        }
    }
}
