use lycheeyard_clients::WorkerError;
use lycheeyard_protocol::{ParseError, WorkerId};
use lycheeyard_state::StateError;
use thiserror::Error;

/// Why a scheduling step was not carried out.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SchedulerError {
    /// Something durable could not be read or written.
    #[error(transparent)]
    State(#[from] StateError),
    /// A worker gave no result.
    #[error(transparent)]
    Worker(#[from] WorkerError),
    /// A worker is not in the instance list.
    #[error("worker {0} is not in the instance list; the step is tried again later")]
    NoAddress(WorkerId),
    /// A worker refused a task.
    #[error("worker {0} refused the task")]
    Refused(WorkerId),
    /// A generated name was invalid.
    #[error(transparent)]
    Name(#[from] ParseError),
    /// The lease ended, so that nothing more may be done.
    #[error("the scheduler lease has ended")]
    LeaseEnded,
    /// The record was changed by somebody else.
    #[error("the job record was changed by another writer; the step is decided again")]
    RecordChanged,
}
