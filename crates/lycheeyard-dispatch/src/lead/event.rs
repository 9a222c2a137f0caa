use lycheeyard_jobs::{
    AdviceAnswer, AdviceRequest, Batch, BootTime, Job, MachineInfo, MaintenanceAnswer,
    MaintenanceOrder, RunNumber, StartAnswer, TaskKey, Wave, WorkerInfo, WorkerKey, WorkerReport,
};
use lycheeyard_protocol::{JobId, Percent, WorkerId};
use tokio::sync::mpsc;

/// An input to the scheduling loop.
#[derive(Debug)]
pub(super) enum Event {
    Submitted(Box<Job>),
    Cancelled(JobId),
    WorkerListed(Box<WorkerInfo>),
    WorkerUnlisted(WorkerId),
    WorkersListed(Vec<WorkerInfo>),
    Reported(WorkerReport),
    WorkerGone(WorkerKey),
    /// A request that extends leases is about to be sent.
    LeaseSent(WorkerKey, BootTime),
    Started(TaskKey, RunNumber, StartAnswer),
    StopConfirmed(TaskKey, RunNumber),
    /// A worker has confirmed the CPU share of a run.
    Throttled(TaskKey, RunNumber, Percent),
    Advised(Box<AdviceRequest>, AdviceAnswer),
    AdviceFailed,
    WaveListed(Box<Wave>),
    /// All machines, and when the list was requested.
    MachinesListed(Vec<MachineInfo>, BootTime),
    Maintained(MaintenanceOrder, MaintenanceAnswer),
    Written(Batch),
    /// Another instance holds a newer term.
    Deposed,
}

pub(super) type EventSender = mpsc::UnboundedSender<Event>;
