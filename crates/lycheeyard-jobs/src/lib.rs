//! The scheduler of jobs that are made of steps and tasks.
//!
//! It performs no input or output and reads no clock. A driver feeds it events and carries its orders out.

mod model;
mod plan;
mod scheduler;

pub use model::{
    AdvicePolicy, BootTime, Checkpoint, EndNumber, EndReport, Job, JobError, Placement, Progress,
    QueuePolicy, Resources, RunEnd, RunNumber, RunReport, Schedule, SchedulingPolicy, Step,
    StepKey, StepProgress, TaskKey, TaskProgress, Ticket, WorkerInfo, WorkerKey, WorkerLimits,
    WorkerReport,
};
pub use scheduler::{
    Acknowledgement, AdviceAnswer, AdviceRequest, Batch, Change, JobScheduler, Now, Order,
    PaceOrder, RunPhase, RunTimes, StartAnswer, StartOrder, Stats, StopOrder, StopReason,
};
