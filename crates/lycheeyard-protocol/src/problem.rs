use crate::Outcome;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The kind of a problem; its name is the last part of the problem's `type` and is stable.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// The caller's key is missing or wrong.
    Unauthenticated,
    /// The caller may not access this object.
    Forbidden,
    /// The named object does not exist.
    NotFound,
    /// The request conflicts with one that was accepted before.
    Conflict,
    /// The request exceeds the size limit.
    TooLarge,
    /// The organisation is over its limit.
    LimitExceeded,
    /// The queue is full or the deadline cannot be met.
    Overloaded,
    /// No live upstream serves the service here.
    NoUpstream,
    /// The upstream failed before it completed its answer.
    UpstreamFailed,
    /// The deadline passed.
    DeadlineExceeded,
    /// The platform's store is unreachable.
    StoreUnavailable,
    /// The instance is not ready or is shutting down.
    NotReady,
}

impl ProblemKind {
    /// The HTTP status of an answer that reports this kind of problem.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::LimitExceeded => 429,
            Self::UpstreamFailed => 502,
            Self::Overloaded | Self::NoUpstream | Self::StoreUnavailable | Self::NotReady => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// An error answer in the form of RFC 9457.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The stable identifier of the kind of problem.
    #[serde(rename = "type")]
    pub type_uri: String,
    /// The kind of problem.
    pub title: ProblemKind,
    /// The HTTP status.
    pub status: u16,
    /// What happened, for people to read.
    pub detail: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Seconds after which a retry may succeed; `None` if a retry does not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Problem {
    /// Creates a problem of `kind` for a request with the given outcome.
    #[must_use]
    pub fn new(kind: ProblemKind, outcome: Outcome, detail: String) -> Self {
        Self {
            type_uri: format!("urn:lycheeyard:problem:{kind}"),
            title: kind,
            status: kind.status(),
            detail,
            outcome,
            retry_after_s: None,
        }
    }

    /// Creates a problem for a request that is known not to have run.
    #[must_use]
    pub fn not_run(kind: ProblemKind, detail: String) -> Self {
        Self::new(kind, Outcome::NotRun, detail)
    }

    /// Adds the number of seconds after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}
