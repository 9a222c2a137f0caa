mod advice;
mod arrivals;
mod batches;
mod evacuation;
mod health;
mod job_entry;
mod jobs;
mod now;
mod orders;
mod pace;
mod reports;
mod restarts;
mod run;
mod run_times;
mod runs;
mod slowness;
mod state;
mod stats;
mod ticks;
mod worker_entry;
mod workers;

pub use advice::{AdviceAnswer, AdviceRequest};
pub(crate) use advice::{AdviceBook, Permit};
pub(crate) use arrivals::Arrivals;
pub(crate) use job_entry::JobEntry;
pub use now::Now;
pub use orders::{
    Acknowledgement, Batch, JobChange, MaintenanceOrder, Order, StartAnswer, StartOrder, StopOrder,
    ThrottleOrder, WaveChange,
};
pub(crate) use pace::{FIRST_SHARE, FULL_SHARE, Pace};
pub(crate) use restarts::Restart;
pub(crate) use run::{Run, RunKind};
pub use run::{RunPhase, StopReason};
pub use run_times::RunTimeEstimator;
pub use state::JobScheduler;
pub use stats::Stats;
pub(crate) use worker_entry::WorkerEntry;
