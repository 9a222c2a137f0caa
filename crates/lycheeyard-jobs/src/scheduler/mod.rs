mod advice;
mod arrival_rate;
mod batches;
mod dirty_jobs;
mod ended_jobs;
mod evacuation;
mod first_start;
mod health;
mod job_entry;
mod jobs;
mod now;
mod orders;
mod planned_starts;
mod reports;
mod restarts;
mod run;
mod run_times;
mod runs;
mod slowdown;
mod state;
mod stats;
mod throttle;
mod ticks;
mod worker_crashes;
mod worker_entry;
mod workers;

pub use advice::{AdviceAnswer, AdviceRequest};
pub(crate) use advice::{AdviceCache, Permit};
pub(crate) use arrival_rate::ArrivalRate;
pub(crate) use dirty_jobs::DirtyJobs;
pub(crate) use ended_jobs::EndedJobs;
pub use first_start::{FirstStart, StartStages};
pub(crate) use job_entry::JobEntry;
pub use now::Now;
pub use orders::{
    Acknowledgement, Batch, JobChange, MaintenanceOrder, Order, StartAnswer, StartOrder, StopOrder,
    ThrottleOrder, WaveChange,
};
pub(crate) use planned_starts::{PlannedStarts, StartUrgency};
pub(crate) use restarts::{Restart, STABLE_AFTER};
pub(crate) use run::{Run, RunKind};
pub use run::{RunPhase, StopReason};
pub use run_times::RunTimeEstimator;
pub use state::JobScheduler;
pub use stats::Stats;
pub(crate) use throttle::{FULL_SHARE, INITIAL_SHARE, ThrottleState};
pub use worker_crashes::WorkerCrash;
pub(crate) use worker_entry::WorkerEntry;
