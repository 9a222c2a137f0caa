mod dated_store;
mod revision_age;
mod revision_times;

pub use dated_store::DatedStore;
pub use revision_age::RevisionAge;
pub use revision_times::RevisionTimes;
