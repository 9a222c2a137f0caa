mod held;
mod observation;
mod record;
mod scheduler;

pub use held::{HeldLease, LeaseStep};
pub use scheduler::SchedulerLease;
