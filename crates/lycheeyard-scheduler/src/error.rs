use lycheeyard_clients::WorkerError;
use lycheeyard_protocol::{ParseError, WorkerId};
use lycheeyard_state::StateError;
use thiserror::Error;

/// Why a scheduling step failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SchedulerError {
    /// The store could not be read or written.
    #[error(transparent)]
    State(#[from] StateError),
    /// A call to a worker failed.
    #[error(transparent)]
    Worker(#[from] WorkerError),
    /// A worker is not in the instance list.
    #[error("worker {0} is not in the instance list; the step is tried again later")]
    NoAddress(WorkerId),
    /// A worker refused a task.
    #[error("worker {0} refused the task")]
    Refused(WorkerId),
    /// A generated task id was invalid.
    #[error(transparent)]
    InvalidTaskId(#[from] ParseError),
    /// The scheduler lease ended, so that no further call or write is allowed.
    #[error("the scheduler lease has ended")]
    LeaseEnded,
    /// Another writer changed the job record.
    #[error("another writer changed the job record; a later round decides the next step")]
    RecordChanged,
}
