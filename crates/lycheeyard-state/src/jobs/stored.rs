use crate::{StateError, error::decode};
use lycheeyard_protocol::{JobRecord, platform::KeyValue};

/// A job record with the store version that the next change must name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredJob {
    /// The record.
    pub record: JobRecord,
    /// The version of its key.
    pub version: u64,
}

/// What became of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The job is durable; the record is new.
    Created(StoredJob),
    /// The same job had been submitted before.
    Existing(StoredJob),
    /// The name is taken by a job with another specification.
    NameTaken(StoredJob),
}

/// What became of a change to a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SaveOutcome {
    /// The change is durable.
    Saved(StoredJob),
    /// Somebody else changed the record first; it is as given, or gone.
    Changed(Option<StoredJob>),
}

pub(super) fn decode_job(entry: &KeyValue) -> Result<StoredJob, StateError> {
    Ok(StoredJob {
        record: decode(&entry.key, &entry.value)?,
        version: entry.version,
    })
}
