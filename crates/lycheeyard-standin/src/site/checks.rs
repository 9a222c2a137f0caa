use lycheeyard_jobs::{RunNumber, TaskKey};
use lycheeyard_protocol::{MachineId, WorkerId};
use thiserror::Error;

/// A violated guarantee of the scheduler.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Violation {
    /// A task is started while another run of it is active.
    #[error("{task} run {run} is started while {other} has another run of it")]
    DuplicateRun {
        /// The task.
        task: TaskKey,
        /// The second run.
        run: RunNumber,
        /// The worker with the first run.
        other: WorkerId,
    },
    /// A task is started again after the scheduler acknowledged its successful end.
    #[error("{0} is started after it has succeeded")]
    StartedAfterDone(TaskKey),
    /// The runs on a worker need more resources than it has.
    #[error("{task} is started on {worker} although it exceeds the worker's capacity")]
    OverCapacity {
        /// The worker.
        worker: WorkerId,
        /// The task that does not fit.
        task: TaskKey,
    },
    /// A worker runs more tasks of a step than the step's spread limit.
    #[error("{task} is started on {worker} although its step has reached its spread limit there")]
    OverSpreadLimit {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
    },
    /// A task is started on a worker that lacks the required label or belongs to another service.
    #[error(
        "{task} is started on {worker}, which lacks the required label or belongs to another service"
    )]
    IneligibleWorker {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskKey,
    },
    /// A task is started before the steps that it depends on are done, or before its scheduled time.
    #[error("{0} is started before its dependencies are done or before its scheduled time")]
    StartedTooEarly(TaskKey),
    /// A task is started although it has used all its attempts.
    #[error("{0} is started after it has used all its attempts")]
    OverMaxAttempts(TaskKey),
    /// Best-effort work kept response times on a worker over their target for too long.
    #[error("best-effort work kept response times on {0} over their target for too long")]
    LatencyOverTarget(WorkerId),
    /// A machine begins maintenance although the wave's cap is reached.
    #[error("{0} begins maintenance although the cap of its wave is reached")]
    TooManyInMaintenance(MachineId),
    /// Maintenance stops a long-running task although `max_unavailable` tasks of its step are unavailable already.
    #[error("{0} is stopped for maintenance although too many tasks of its step are unavailable")]
    OverMaxUnavailable(TaskKey),
    /// A wave is recorded as completed although one of its machines has not begun maintenance.
    #[error("a wave is recorded as completed before {0} has begun maintenance")]
    WaveNotComplete(MachineId),
    /// A gang member timed out while it waited for the other members.
    #[error("{0} timed out while it waited for the other members of its gang")]
    GangTimedOut(TaskKey),
    /// A task of a cancelled job is started.
    #[error("{0} is started after its job was cancelled")]
    StartedAfterCancel(TaskKey),
    /// A run is started before its record is durable.
    #[error("{0} is started before the record of its run is durable")]
    Unrecorded(TaskKey),
}
