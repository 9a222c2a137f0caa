use lycheeyard_jobs::{
    AdviceAnswer, AdviceRequest, Batch, BootTime, EndedJob, Job, MachineInfo, MaintenanceAnswer,
    MaintenanceOrder, RunNumber, StartAnswer, TaskKey, Wave, WorkerInfo, WorkerKey, WorkerReport,
};
use lycheeyard_protocol::{DataCentreId, Incarnation, JobId, Percent, WorkerId};
use std::collections::BTreeSet;
use tokio::sync::mpsc;

/// An input to the scheduling loop.
#[derive(Debug)]
pub(super) enum Event {
    Submitted(Box<Job>),
    Cancelled(JobId),
    /// The jobs that a listing of waiting and cancelled jobs names.
    RequestsListed(Vec<JobId>),
    /// One worker was added to the list or has changed.
    WorkerListed(Box<WorkerInfo>),
    WorkerUnlisted(WorkerId),
    /// The complete list of workers; any other worker is no longer listed.
    WorkersListed(Vec<WorkerInfo>),
    /// The data centres that are evacuated now.
    EvacuationsChanged(BTreeSet<DataCentreId>),
    Reported(WorkerReport),
    /// A report request got no report.
    ReportFailed(WorkerKey),
    /// Another worker answers at the address of this one.
    IncarnationEnded(WorkerKey),
    /// Another incarnation of the worker answers at its address.
    WorkerRestarted(WorkerKey, Incarnation),
    /// A newer epoch is there for workers that have started again.
    EpochDrawn,
    /// A request that extends leases is about to be sent, and until when it extends them.
    LeaseSent(WorkerKey, BootTime, BootTime),
    /// That request could not be sent.
    LeaseNotSent(WorkerKey, BootTime),
    /// The outcome of a start order, which the worker may also have refused.
    StartAnswered(TaskKey, RunNumber, WorkerKey, StartAnswer),
    StopConfirmed(TaskKey, RunNumber, WorkerKey),
    /// A worker has confirmed the CPU share of a run.
    Throttled(TaskKey, RunNumber, Percent),
    Advised(Box<AdviceRequest>, AdviceAnswer),
    AdviceFailed,
    WaveListed(Box<Wave>),
    /// All machines, and when the list was requested.
    MachinesListed(Vec<MachineInfo>, BootTime),
    MaintenanceAnswered(MaintenanceOrder, MaintenanceAnswer),
    /// The records of a batch are durable.
    Written(Batch),
    /// The record of silent workers is durable.
    SilentWorkersWritten,
    /// The store will never take the record of this job.
    RecordRejected(JobId),
    /// Some of the jobs that were archived before this term.
    ArchiveListed(Vec<EndedJob>),
    /// The jobs are archived: nothing but these records is left of them.
    Archived(Vec<EndedJob>),
    /// A much larger instance asks this one to hand over.
    HandOverRequested,
    /// Another instance holds a newer term.
    Deposed,
}

pub(super) type EventSender = mpsc::UnboundedSender<Event>;
