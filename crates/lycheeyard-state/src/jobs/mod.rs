mod book_store;
mod changes;
mod store;
mod stored;

pub use book_store::{BookStore, StoredBook};
pub use changes::JobChanges;
pub use store::{FINAL_RETENTION, JobStore};
pub use stored::{SaveOutcome, StoredJob, SubmitOutcome};
