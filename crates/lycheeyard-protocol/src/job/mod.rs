mod count;
mod explanation;
mod placement;
mod priority;
mod record;
mod spec;
mod state;
mod stop_note;

pub use count::JobCount;
pub use explanation::{JobExplanation, WaitReason};
pub use placement::{Allocation, Placement};
pub use priority::{Preemption, Priority};
pub use record::JobRecord;
pub use spec::JobSpec;
pub use state::JobState;
pub use stop_note::StopNote;
