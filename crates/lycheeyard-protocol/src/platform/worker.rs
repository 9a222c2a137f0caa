use crate::{AcceleratorIndex, Epoch, JobId, OrganisationId, TaskId, Timestamp, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use strum::{Display, EnumString};

/// The state of a task on its worker.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TaskState {
    /// Holds its accelerators and waits for the start request.
    Prepared,
    /// Runs.
    Running,
    /// Ended successfully.
    Succeeded,
    /// Failed.
    Failed,
    /// Was stopped, or its lease expired.
    Stopped,
}

/// Asks a worker to reserve accelerators for a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRequest {
    /// The task; a repeated request for the same task gets the same answer.
    pub task: TaskId,
    /// The organisation that owns the job.
    pub organisation: OrganisationId,
    /// The job.
    pub job: JobId,
    /// The accelerators.
    pub accelerators: BTreeSet<AcceleratorIndex>,
    /// The epoch of the requesting scheduler; a worker rejects an epoch lower than one it has seen.
    pub epoch: Epoch,
    /// When the worker ends the task unless the lease is renewed.
    pub lease_until: Timestamp,
    /// The run time in milliseconds that the last checkpoint preserves.
    pub checkpoint_ms: u64,
    /// Text that is passed to the task.
    pub payload: String,
}

/// A worker's answer to a request to prepare a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PrepareReply {
    /// The accelerators are reserved.
    Prepared,
    /// The named other task holds one of the accelerators.
    Busy(TaskId),
    /// The request's epoch is lower than this one, which the worker has seen.
    StaleEpoch(Epoch),
}

/// Starts a prepared task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// The task.
    pub task: TaskId,
    /// The epoch of the requesting scheduler.
    pub epoch: Epoch,
    /// When the worker ends the task unless the lease is renewed.
    pub lease_until: Timestamp,
}

/// Stops tasks, after a checkpoint if one is requested.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopRequest {
    /// The tasks.
    pub tasks: BTreeSet<TaskId>,
    /// Whether the tasks write a checkpoint before they stop.
    pub checkpoint: bool,
}

/// Sets new lease deadlines for tasks; it starts no task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewRequest {
    /// The tasks.
    pub tasks: BTreeSet<TaskId>,
    /// The new deadline.
    pub lease_until: Timestamp,
    /// The epoch of the requesting scheduler, or zero; the worker rejects lower epochs from then on.
    #[serde(default)]
    pub epoch: Epoch,
    /// The version of the caller's last report; the answer omits the tasks if it is still current.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_version: Option<u64>,
}

/// A task as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The organisation that owns the job.
    pub organisation: OrganisationId,
    /// The job.
    pub job: JobId,
    /// The task's state.
    pub state: TaskState,
    /// The accelerators.
    pub accelerators: BTreeSet<AcceleratorIndex>,
    /// The run time in milliseconds that the last checkpoint preserves.
    pub checkpoint_ms: u64,
    /// When the lease ends.
    pub lease_until: Timestamp,
}

/// A worker's report of its tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// The highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Increases with each change of a task's state, but not with a new lease deadline.
    #[serde(default)]
    pub version: u64,
    /// Whether the tasks are omitted because the caller already has this version.
    #[serde(default)]
    pub unchanged: bool,
    /// Its tasks, including those that ended recently.
    pub tasks: Vec<TaskReport>,
}
