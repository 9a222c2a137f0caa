mod decide;
mod executor;
mod release;
mod step;

pub use decide::next_step;
pub use executor::{Executor, StepOutcome};
pub use release::{StopProgress, advance_stop};
pub use step::JobStep;
