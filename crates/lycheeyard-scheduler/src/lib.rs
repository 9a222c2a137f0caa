//! Holds the scheduler lease of a data centre, feeds the policy and carries its actions out on workers.

mod error;
mod gang;
mod scheduler;
mod workers;

pub use error::SchedulerError;
pub use scheduler::{Scheduler, SchedulerSettings, SchedulerStatus};
pub use workers::WorkerTable;
