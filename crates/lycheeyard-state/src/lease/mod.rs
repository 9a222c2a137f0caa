mod held;
mod scheduler;

pub use held::{HeldLease, LeaseStep};
pub use scheduler::SchedulerLease;
