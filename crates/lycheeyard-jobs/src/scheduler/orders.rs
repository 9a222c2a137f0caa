use super::StopReason;
use crate::{
    BootTime, Checkpoint, EndNumber, Progress, RunNumber, TaskKey, Ticket, WaveNumber,
    WaveProgress, WorkerKey,
};
use lycheeyard_protocol::{JobId, MachineId, Percent, QueueId, WorkerId};
use std::{collections::BTreeMap, net::SocketAddr};
use strum::Display;

/// Something to be sent to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Set the share of its speed at which a run works.
    Throttle(ThrottleOrder),
}

impl Order {
    /// The worker that is to carry it out.
    #[must_use]
    pub fn worker(&self) -> &WorkerKey {
        match self {
            Self::Start(order) => &order.worker,
            Self::Stop(order) => &order.worker,
            Self::Throttle(order) => &order.worker,
        }
    }
}

/// Lets a machine begin its maintenance; all that runs on it ends at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MaintenanceOrder {
    /// The wave that asks for it.
    pub wave: WaveNumber,
    /// The machine.
    pub machine: MachineId,
}

/// Sets the share of its speed at which a run works.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ThrottleOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// Where the worker takes calls.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The share.
    pub share: Percent,
}

/// Starts a run on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// Where the worker takes calls.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// Text for the task.
    pub payload: String,
    /// Where to go on from.
    pub checkpoint: Option<Checkpoint>,
    /// Shows that the worker may run the step, where the advisor decides that.
    pub ticket: Option<Ticket>,
    /// The worker does not carry the order out after this.
    pub deadline: BootTime,
}

/// Stops a run on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// Where the worker takes calls.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// Why.
    pub reason: StopReason,
}

/// What became of an order to start.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum StartAnswer {
    /// The worker has the run.
    Present,
    /// The worker has no room; it did not start the run.
    NoRoom,
    /// The worker did not accept the ticket, or asked for one; it did not start the run.
    NoTicket,
    /// The worker refused; no copy of the order took effect or will.
    NotStarted,
    /// The worker refused, but an earlier copy of the order may have taken effect.
    Refused,
    /// No answer; the order may take effect until its deadline.
    Unclear,
}

/// A record to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobChange {
    /// The job.
    pub job: JobId,
    /// The whole new record.
    pub progress: Progress,
    /// The queue in which the job no longer waits for its first start.
    pub leaves_queue: Option<QueueId>,
}

/// The record of a wave to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveChange {
    /// The wave.
    pub number: WaveNumber,
    /// The whole new record.
    pub progress: WaveProgress,
}

/// Records that are written together, and what may follow once they are durable.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The records.
    pub changes: Vec<JobChange>,
    /// The records of waves.
    pub waves: Vec<WaveChange>,
    pub(crate) starts: Vec<(TaskKey, RunNumber)>,
    pub(crate) noted: BTreeMap<WorkerId, EndNumber>,
}

/// Ends that a worker may forget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Acknowledgement {
    /// The worker's life.
    pub worker: WorkerKey,
    /// The last end that is durable.
    pub through: EndNumber,
    /// Whether its leases are to be extended.
    pub extends_lease: bool,
    /// Whether it is to be heard of often, since what it runs has to be paced.
    pub is_shared: bool,
}
