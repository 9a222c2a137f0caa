mod advice;
mod arrival_rate;
mod batches;
mod dirty_jobs;
mod ended_jobs;
mod evacuated_data_centres;
mod evacuation;
mod evidence;
mod first_start;
mod health;
mod hopeless_job;
mod incarnation_change;
mod incarnations;
mod job_entry;
mod jobs;
mod listed_addresses;
mod listing_verdict;
mod now;
mod orders;
mod other_incarnations;
mod planned_starts;
mod reports;
mod restarts;
mod run;
mod run_times;
mod runs;
mod silent_workers;
mod speeds;
mod start_copies;
mod start_proofs;
mod starts_without_room;
mod state;
mod stats;
mod throttle;
mod ticks;
mod undurable_ends;
mod withheld_ends;
mod worker_crashes;
mod worker_entry;
mod workers;

pub use advice::{AdviceAnswer, AdviceRequest};
pub(crate) use advice::{AdviceCache, Permit};
pub(crate) use arrival_rate::ArrivalRate;
pub(crate) use dirty_jobs::DirtyJobs;
pub(crate) use ended_jobs::EndedJobs;
pub(crate) use evidence::Evidence;
pub use first_start::{FirstStart, StartStages};
pub use hopeless_job::HopelessJob;
pub use incarnation_change::{IncarnationChange, IncarnationDecision};
pub(crate) use job_entry::JobEntry;
pub use now::Now;
pub use orders::{
    Acknowledgement, Batch, JobChange, MaintenanceOrder, Order, StartAnswer, StartOrder, StopOrder,
    ThrottleOrder, WaveChange,
};
pub(crate) use other_incarnations::OtherIncarnations;
pub(crate) use planned_starts::{PlannedStarts, StartUrgency};
pub(crate) use restarts::{Restart, STABLE_AFTER};
pub(crate) use run::{Run, RunKind};
pub use run::{RunPhase, StopReason};
pub use run_times::RunTimeEstimator;
pub use speeds::{
    QueuePaceRecord, Regime, SpeedChange, SpeedClass, SpeedFilter, SpeedRecord, WorkerSpeed,
    WorkerSpeedRecord,
};
pub(crate) use speeds::{StepPaces, WorkerSpeeds};
pub use state::JobScheduler;
pub use stats::Stats;
pub(crate) use throttle::{FULL_SHARE, INITIAL_SHARE, ThrottleState};
pub(crate) use undurable_ends::UndurableEnds;
pub(crate) use withheld_ends::WithheldEnds;
pub(crate) use worker_crashes::CrashSuspect;
pub use worker_crashes::WorkerCrash;
pub(crate) use worker_entry::WorkerEntry;
