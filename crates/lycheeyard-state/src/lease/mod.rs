mod held;
mod observation;
mod record;
mod scheduler;

pub use held::{HeldLease, LeaseOutcome};
pub use scheduler::SchedulerLease;
