mod decide;
mod executor;
mod release;
mod step;

pub use decide::next_step;
pub use executor::{Executor, Settled};
pub use release::{StopProgress, settle_stop};
pub use step::JobStep;
