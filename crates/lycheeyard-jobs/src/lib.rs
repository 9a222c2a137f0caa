//! Scheduler for jobs made of steps and tasks.
//!
//! It performs no I/O and reads no clock: a driver passes events and the current time in, and executes the orders
//! that it returns.

mod admission;
mod maintenance;
mod model;
mod plan;
mod scheduler;

pub use admission::{
    AdmissionControl, ClosedQueue, LevelUse, OrganisationQueue, QueueBacklog, QueueChange,
    QueueLoad, QueueState, ServiceLoad, Work, is_never_refused,
};
pub use maintenance::{
    MachineInfo, MachineState, MaintenanceAnswer, Wave, WaveNumber, WaveProgress, WaveState,
};
pub use model::{
    AdvicePolicy, BootTime, Checkpoint, EndNumber, EndReport, EndedJob, Job, JobError, Placement,
    Progress, QueuePolicy, Resources, RunEnd, RunNumber, RunReport, Schedule, SchedulingPolicy,
    SilentWorker, Step, StepKey, StepProgress, StepSet, TaskKey, TaskProgress, Ticket, WorkerInfo,
    WorkerKey, WorkerLimits, WorkerReport,
};
pub use plan::{PendingStart, StepRoom, StepWait};
pub use scheduler::{
    Acknowledgement, AdviceAnswer, AdviceRequest, Batch, FirstStart, HopelessJob,
    IncarnationChange, IncarnationDecision, JobChange, JobScheduler, MAX_ORDER_DELAY,
    MaintenanceOrder, Now, Order, QueuePaceRecord, Regime, RunPhase, RunTimeEstimator, SpeedChange,
    SpeedClass, SpeedFilter, SpeedRecord, StartAnswer, StartOrder, StartStages, Stats, StopOrder,
    StopReason, ThrottleOrder, WaitingGuarantee, WaitingStep, WaveChange, WorkerCrash,
    WorkerExclusion, WorkerSpeed, WorkerSpeedRecord,
};
