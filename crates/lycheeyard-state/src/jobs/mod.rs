mod changes;
mod store;
mod stored;

pub use changes::JobChanges;
pub use store::{FINAL_RETENTION, JobStore};
pub use stored::{SaveOutcome, StoredJob, SubmitOutcome};
