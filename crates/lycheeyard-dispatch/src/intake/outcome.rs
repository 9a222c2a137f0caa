use super::QueueClosed;
use crate::ports::KvError;
use lycheeyard_protocol::JobState;
use thiserror::Error;

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The same job was already stored; it is not stored twice.
    AlreadyAccepted,
    /// A job of another queue or organisation has this name.
    NameTaken,
    /// The job was cancelled before it was stored; it is not stored and no earlier copy of the submission will store it.
    Withdrawn,
    /// The queue accepts no jobs of the organisation at present; the job is not stored and will not be stored later.
    Refused(QueueClosed),
    /// The store did not answer; the job may be stored already or later.
    Unknown,
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// The cancellation is stored.
    Cancelled,
    /// The job has already ended.
    AlreadyEnded,
    /// There is no such job, and no copy of a submission that has no answer yet will store it.
    NoSuchJob,
    /// The store did not answer; the cancellation may be stored already or later.
    Unknown,
}

/// The answer to a query for a job's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateOutcome {
    /// The job exists and is in this state.
    Known(JobState),
    /// There is no such job.
    NoSuchJob,
}

/// Why a call could not be served. Nothing was stored.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IntakeError {
    /// The store is unreachable or refuses calls.
    #[error("the store cannot be used for `{key}`: {error}")]
    Store {
        /// The key that was to be read or written, or the prefix of the keys.
        key: String,
        /// Why the call has no result.
        error: KvError,
    },
    /// The organisation has cancelled too many jobs on this instance that are not stored.
    #[error(
        "the organisation has cancelled too many jobs that are not stored; cancel again in a minute"
    )]
    TooManyWithdrawals,
    /// A stored record cannot be decoded, or a new one encoded.
    #[error("cannot decode or encode the record `{key}`: {reason}")]
    Codec {
        /// The key of the record.
        key: String,
        /// The error of the decoder or encoder.
        reason: String,
    },
}

impl IntakeError {
    /// Returns a closure that adds the key to the error of a call to the store.
    pub(super) fn at(key: &str) -> impl FnOnce(KvError) -> Self {
        move |error| Self::Store {
            key: key.to_owned(),
            error,
        }
    }

    /// Whether another instance may be able to serve the call: the store cannot be reached from this one or turns it away, and not for
    /// too many calls.
    #[must_use]
    pub fn is_of_this_instance(&self) -> bool {
        let is_rejected = self.is_rejected();
        matches!(self, Self::Store { error, .. } if !error.is_over_rate() && !is_rejected)
    }

    /// Whether the store will never take the write of the call, so that the caller must not repeat it.
    #[must_use]
    pub fn is_rejected(&self) -> bool {
        matches!(
            self,
            Self::Store {
                error: KvError::Rejected(_),
                ..
            }
        )
    }

    /// Returns the metric label of the reason.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::Store { error, .. } => error.reason(),
            Self::TooManyWithdrawals => "too-many-withdrawals",
            Self::Codec { .. } => "unreadable",
        }
    }
}
