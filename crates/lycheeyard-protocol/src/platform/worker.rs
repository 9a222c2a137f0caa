use crate::{AcceleratorIndex, Epoch, JobId, OrganisationId, TaskId, Timestamp, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use strum::{Display, EnumString};

/// Where a task is in its life on a worker.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TaskState {
    /// Holds its accelerators and waits for the start.
    Prepared,
    /// Runs.
    Running,
    /// Ended well.
    Succeeded,
    /// Failed.
    Failed,
    /// Was stopped, or its lease lapsed.
    Stopped,
}

/// Asks a worker to set accelerators aside for a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRequest {
    /// The task; the same task again gets the same answer.
    pub task: TaskId,
    /// The organisation that owns the job.
    pub organisation: OrganisationId,
    /// The job.
    pub job: JobId,
    /// The accelerators.
    pub accelerators: BTreeSet<AcceleratorIndex>,
    /// The epoch of the scheduler that asks; a worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// When the worker ends the task unless the lease is renewed.
    pub lease_until: Timestamp,
    /// The run time in milliseconds that the last checkpoint keeps.
    pub checkpoint_ms: u64,
    /// Text for the task.
    pub payload: String,
}

/// A worker's answer to a request to prepare a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PrepareReply {
    /// The accelerators are set aside.
    Prepared,
    /// Another task holds an accelerator.
    Busy(TaskId),
    /// The epoch is lower than one that the worker has seen.
    StaleEpoch(Epoch),
}

/// Starts a prepared task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// The task.
    pub task: TaskId,
    /// The epoch of the scheduler that asks.
    pub epoch: Epoch,
    /// When the worker ends the task unless the lease is renewed.
    pub lease_until: Timestamp,
}

/// Ends tasks, with a checkpoint first where it is asked for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopRequest {
    /// The tasks.
    pub tasks: BTreeSet<TaskId>,
    /// Whether to write a checkpoint first.
    pub checkpoint: bool,
}

/// Moves the lease deadlines of tasks; it starts nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewRequest {
    /// The tasks.
    pub tasks: BTreeSet<TaskId>,
    /// The new deadline.
    pub lease_until: Timestamp,
    /// The epoch of the scheduler that asks, or zero; the worker refuses lower ones from then on.
    #[serde(default)]
    pub epoch: Epoch,
    /// The report version that the caller knows; the answer leaves the tasks out if it still holds.
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
    /// Where the task is in its life.
    pub state: TaskState,
    /// The accelerators.
    pub accelerators: BTreeSet<AcceleratorIndex>,
    /// The run time in milliseconds that the last checkpoint keeps.
    pub checkpoint_ms: u64,
    /// When the lease ends.
    pub lease_until: Timestamp,
}

/// Everything that a worker reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// The highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Grows with each change of a task's state; moved lease deadlines do not count.
    #[serde(default)]
    pub version: u64,
    /// Whether the tasks are left out, since the caller knows this version.
    #[serde(default)]
    pub unchanged: bool,
    /// Its tasks, also those that ended lately.
    pub tasks: Vec<TaskReport>,
}
