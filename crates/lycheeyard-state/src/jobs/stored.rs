use lycheeyard_protocol::JobRecord;

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
    Taken(StoredJob),
}
