mod keeper;
mod statistics;
mod worker_health;

pub use keeper::StatisticsKeeper;
pub use statistics::SchedulerStatistics;
pub use worker_health::{HealthChange, WorkerHealth};
