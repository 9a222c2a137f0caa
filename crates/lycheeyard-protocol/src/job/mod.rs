mod placement;
mod priority;
mod record;
mod spec;
mod state;

pub use placement::{Allocation, Placement};
pub use priority::{Preemption, Priority};
pub use record::JobRecord;
pub use spec::JobSpec;
pub use state::JobState;
