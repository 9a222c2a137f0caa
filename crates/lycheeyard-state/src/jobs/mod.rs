mod changes;
mod scheduler_state;
mod store;
mod stored;
mod unreadable;

pub use changes::JobChanges;
pub use scheduler_state::{SchedulerStateStore, StoredSchedulerState};
pub use store::{FINAL_RETENTION, JobStore};
pub use stored::{SaveOutcome, StoredJob, SubmitOutcome};
pub use unreadable::UnreadableJob;
