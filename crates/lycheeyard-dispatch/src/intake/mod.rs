mod cancel;
mod job_intake;
mod outcome;
mod query;
mod queue_closed;
mod reads;
mod records;
mod retries;
mod retry_budget;
mod submit;
mod withdraw;
mod withdrawals;

pub use job_intake::JobIntake;
pub use outcome::{CancelOutcome, IntakeError, StateOutcome, SubmitOutcome};
pub use queue_closed::QueueClosed;
