mod store;
mod stored;

pub use store::JobStore;
pub use stored::{StoredJob, SubmitOutcome};
