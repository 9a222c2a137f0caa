mod book;
mod keeper;
mod worker_health;

pub use book::SchedulerBook;
pub use keeper::BookKeeper;
pub use worker_health::{HealthChange, WorkerHealth};
