mod cancel;
mod job_intake;
mod outcome;
mod query;
mod submit;
mod tries;

pub use job_intake::JobIntake;
pub use outcome::{CancelOutcome, IntakeError, StateOutcome, SubmitOutcome};
