use crate::{StateError, error::decode};
use lycheeyard_protocol::{JobRecord, platform::KeyValue};

/// A job record and the version that the next write must name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredJob {
    /// The record.
    pub record: JobRecord,
    /// The version of its key.
    pub version: u64,
}

/// The outcome of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The job is durable; the record is new.
    Created(StoredJob),
    /// The same job had been submitted before.
    Existing(StoredJob),
    /// The name is taken by a job with another specification.
    NameTaken(StoredJob),
}

/// The outcome of a change to a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SaveOutcome {
    /// The change is durable.
    Saved(StoredJob),
    /// Another writer changed the record first. Holds the stored record; `None` if it was deleted.
    Changed(Option<StoredJob>),
}

pub(super) fn decode_job(entry: &KeyValue) -> Result<StoredJob, StateError> {
    Ok(StoredJob {
        record: decode(&entry.key, &entry.value)?,
        version: entry.version,
    })
}
