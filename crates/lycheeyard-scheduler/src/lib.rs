//! Holds the scheduler lease of a data centre, feeds the policy and carries its actions out on workers.
//!
//! Every instance follows the job records and renews the task leases of its share of the workers. The holder
//! of the scheduler lease plans as well, and starts and stops gangs.

mod error;
mod gang;
mod health;
mod lease_keeper;
mod metrics;
mod records;
mod rounds;
mod scheduler;
mod settings;
mod status;
mod steps;
mod workers;

pub use error::SchedulerError;
pub use gang::{GangStatus, GangView, Sight, TaskSight, task_id};
pub use health::{HealthChange, SchedulerBook, WorkerHealth};
pub use records::JobCache;
pub use scheduler::{Scheduler, SchedulerInputs};
pub use settings::SchedulerSettings;
pub use status::SchedulerStatus;
pub use steps::{JobStep, StopProgress, next_step, settle_stop};
pub use workers::{
    CallKind, DataCentreMembers, PollSchedule, RenewalRight, WorkerTable, WorkerViews,
    rendezvous_owner, renewal_right,
};
