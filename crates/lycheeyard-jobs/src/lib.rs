//! The scheduler of jobs that are made of steps and tasks.
//!
//! It performs no input or output and reads no clock. A driver feeds it events and carries its orders out.

mod maintenance;
mod model;
mod plan;
mod scheduler;

pub use maintenance::{
    MachineInfo, MachineState, MaintenanceAnswer, Wave, WaveNumber, WaveProgress, WaveState,
};
pub use model::{
    AdvicePolicy, BootTime, Checkpoint, EndNumber, EndReport, Job, JobError, Placement, Progress,
    QueuePolicy, Resources, RunEnd, RunNumber, RunReport, Schedule, SchedulingPolicy, Step,
    StepKey, StepProgress, TaskKey, TaskProgress, Ticket, WorkerInfo, WorkerKey, WorkerLimits,
    WorkerReport,
};
pub use scheduler::{
    Acknowledgement, AdviceAnswer, AdviceRequest, Batch, JobChange, JobScheduler, MaintenanceOrder,
    Now, Order, RunPhase, RunTimeEstimator, StartAnswer, StartOrder, Stats, StopOrder, StopReason,
    ThrottleOrder, WaveChange,
};
