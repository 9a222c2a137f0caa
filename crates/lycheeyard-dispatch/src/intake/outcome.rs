use crate::ports::KvError;
use lycheeyard_protocol::JobState;
use thiserror::Error;

/// What became of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The job was stored before; it remains one job.
    AlreadyAccepted,
    /// Another job has this name.
    NameTaken,
    /// There was no answer from the store; the job may be stored, now or later.
    Unknown,
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// It is stored.
    Cancelled,
    /// The job had ended.
    AlreadyEnded,
    /// There is no such job.
    NoSuchJob,
    /// There was no answer from the store; the cancellation may be stored, now or later.
    Unknown,
}

/// What is known of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateOutcome {
    /// Its state.
    Known(JobState),
    /// There is no such job.
    NoSuchJob,
}

/// Why a call could not be served. Nothing was done.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IntakeError {
    /// The store is out of reach or refuses calls.
    #[error("the store cannot be used: {0}")]
    Store(#[from] KvError),
    /// A record cannot be read.
    #[error("the record `{key}` cannot be read: {reason}")]
    Record {
        /// The key of the record.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}
