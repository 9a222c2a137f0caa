use super::StopReason;
use crate::{
    BootTime, Checkpoint, EndNumber, Progress, RunNumber, TaskKey, Ticket, WaveNumber,
    WaveProgress, WorkerKey,
};
use lycheeyard_protocol::{DataCentreId, JobId, MachineId, Percent, QueueId};
use std::net::SocketAddr;
use strum::Display;

/// An order to be sent to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Set the CPU share of a run.
    Throttle(ThrottleOrder),
}

impl Order {
    /// The worker that is to execute the order.
    #[must_use]
    pub fn worker(&self) -> &WorkerKey {
        match self {
            Self::Start(order) => &order.worker,
            Self::Stop(order) => &order.worker,
            Self::Throttle(order) => &order.worker,
        }
    }

    /// Whether the order starts a run.
    #[must_use]
    pub fn is_start(&self) -> bool {
        matches!(self, Self::Start(_))
    }
}

/// Lets a machine begin its maintenance, which ends everything that runs on it at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MaintenanceOrder {
    /// The maintenance wave that the machine belongs to.
    pub wave: WaveNumber,
    /// The machine.
    pub machine: MachineId,
}

/// Sets the CPU share of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ThrottleOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The share of full speed at which the run is to work.
    pub share: Percent,
}

/// Starts a run on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The data centre of the worker.
    pub data_centre: DataCentreId,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The job's payload, which is passed to the task.
    pub payload: String,
    /// The checkpoint from which to continue.
    pub checkpoint: Option<Checkpoint>,
    /// The ticket that allows the worker to run the step, if the advisor decides for the queue.
    pub ticket: Option<Ticket>,
    /// The order is not sent after this, and the incarnation that it is meant for does not execute it after this.
    pub deadline: BootTime,
}

/// Stops a run on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// Why the run is stopped.
    pub reason: StopReason,
}

/// The outcome of a start order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum StartAnswer {
    /// The worker has the run.
    Present,
    /// The worker has the run, but an earlier copy of the order was not answered.
    PresentByLaterCopy,
    /// The worker does not have the resources and did not start the run.
    NoRoom,
    /// The worker rejected the ticket or requires one, and did not start the run.
    NoTicket,
    /// The worker rejected the order; no copy of it has taken effect or will.
    NotStarted,
    /// The worker could not be reached; no copy of the order was sent.
    Unreachable,
    /// The worker rejected the order, and no copy of it will take effect any more, but an earlier one may have.
    Refused,
    /// A copy of the order was not answered and may take effect until its deadline.
    Unclear,
    /// As [`Self::Unclear`]; the connection was lost during an attempt, and the worker could not be reached any more after it.
    ConnectionLost,
}

/// The progress record of a job to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobChange {
    /// The job.
    pub job: JobId,
    /// The complete new record.
    pub progress: Progress,
    /// The queue that the job leaves, because this is its first record.
    pub leaves_queue: Option<QueueId>,
}

/// The progress record of a maintenance wave to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveChange {
    /// The wave.
    pub number: WaveNumber,
    /// The complete new record.
    pub progress: WaveProgress,
}

/// Records that are written together, with the starts and acknowledgements that must wait until they are durable.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The records of jobs.
    pub changes: Vec<JobChange>,
    /// The records of maintenance waves.
    pub waves: Vec<WaveChange>,
    pub(crate) starts: Vec<(TaskKey, RunNumber)>,
    pub(crate) ends: Vec<(WorkerKey, EndNumber)>,
}

impl Batch {
    /// Removes the records of some jobs, with the starts that wait for them.
    pub fn remove_jobs(&mut self, is_removed: impl Fn(&JobId) -> bool) {
        self.changes.retain(|change| !is_removed(&change.job));
        self.starts.retain(|(task, _)| !is_removed(&task.step.job));
    }
}

/// Sent to a worker with a report request: the run ends that it may discard, and how it is polled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Acknowledgement {
    /// The worker and its incarnation.
    pub worker: WorkerKey,
    /// The last run end that is durable; the worker may discard the ends up to this one.
    pub through: EndNumber,
    /// Whether the worker's leases are to be extended.
    pub extends_lease: bool,
    /// Whether the worker is to report often: its best-effort runs are throttled by its reports, or it is unclear whether
    /// it has a run.
    pub reports_often: bool,
    /// Whether the worker is gone while late copies of start orders may reach its next incarnation. That one is to be called with a
    /// newer epoch as soon as it answers at the former address.
    pub awaits_next_incarnation: bool,
}
