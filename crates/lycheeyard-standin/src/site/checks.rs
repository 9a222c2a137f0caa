use lycheeyard_jobs::{RunNumber, TaskKey};
use lycheeyard_protocol::{MachineId, WorkerId};
use thiserror::Error;

/// A promise that the scheduler broke.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Violation {
    /// Two runs of a task at the same time.
    #[error("{task} run {run} is started while {other} has another run of it")]
    DuplicateRun {
        /// The task.
        task: TaskKey,
        /// The second run.
        run: RunNumber,
        /// Where the first is.
        other: WorkerId,
    },
    /// A task is started again after its end as done was acknowledged.
    #[error("{0} is started after it was done")]
    StartedAfterDone(TaskKey),
    /// A worker is given more than it has.
    #[error("{worker} is given {task} beyond its capacity")]
    OverCapacity {
        /// The worker.
        worker: WorkerId,
        /// The task that does not fit.
        task: TaskKey,
    },
    /// More tasks of a step on one worker than allowed.
    #[error("{task} is started beside too many others of its step on {worker}")]
    OverSpreadLimit {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
    },
    /// A worker lacks a label or serves another service.
    #[error("{task} is started on {worker}, which its job does not allow")]
    IneligibleWorker {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
    },
    /// A task is started before the steps that it waits for are done, or before its time.
    #[error("{0} is started too early")]
    StartedTooEarly(TaskKey),
    /// A task is started after it has failed too often.
    #[error("{0} is started after its last attempt")]
    OverMaxAttempts(TaskKey),
    /// Response times were over their limit for too long through work that fills.
    #[error("response times on {0} were over their limit for too long")]
    LatencyOverTarget(WorkerId),
    /// A machine begins its maintenance while as many as may be are away for it.
    #[error("{0} is away beside too many others")]
    TooManyInMaintenance(MachineId),
    /// A long-running task is taken away while as many others of its step as may be are.
    #[error("{0} is taken away beside too many others of its step")]
    OverMaxUnavailable(TaskKey),
    /// A wave is said to be done while a machine of it has not begun.
    #[error("a wave is said to be done before {0} has begun")]
    WaveNotComplete(MachineId),
    /// A member of a gang waited in vain for the others.
    #[error("{0} waited in vain for its gang")]
    GangTimedOut(TaskKey),
    /// A cancelled job's task is started.
    #[error("{0} is started after its job was cancelled")]
    StartedAfterCancel(TaskKey),
    /// A run is started before the record that names it is durable.
    #[error("{0} is started without a record")]
    Unrecorded(TaskKey),
}
