mod decide;
mod executor;
mod release;
mod start_orders;
mod step;

pub use decide::next_step;
pub use executor::{Executor, StepOutcome};
pub use release::{StopProgress, advance_stop};
use start_orders::StartOrders;
pub use step::JobStep;
