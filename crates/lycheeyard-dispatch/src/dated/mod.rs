mod dated_store;
mod revision_times;

pub use dated_store::DatedStore;
pub use revision_times::RevisionTimes;
