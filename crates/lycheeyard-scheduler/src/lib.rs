//! The scheduler of a data centre: holds the scheduler lease, passes the cluster state to the policy and executes the
//! policy's actions on the workers.
//!
//! Every instance follows the job records and renews the task leases on its share of the workers. The holder
//! of the scheduler lease also plans, and starts and stops gangs.

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
pub use gang::{GangStatus, GangView, ObservedTask, TaskObservation, task_id};
pub use health::{HealthChange, SchedulerStatistics, WorkerHealth};
pub use records::JobCache;
pub use scheduler::{Scheduler, SchedulerInputs};
pub use settings::SchedulerSettings;
pub use status::SchedulerStatus;
pub use steps::{JobStep, StopProgress, advance_stop, next_step};
pub use workers::{
    CallReasons, DataCentreMembers, PollSchedule, RenewalDecision, WorkerReports, WorkerTable,
    decide_renewal, rendezvous_owner,
};
