mod cancel;
mod job_intake;
mod outcome;
mod query;
mod retries;
mod submit;

pub use job_intake::JobIntake;
pub use outcome::{CancelOutcome, IntakeError, StateOutcome, SubmitOutcome};
