use crate::StateError;
use lycheeyard_protocol::{JobId, OrganisationId, platform::KeyValue};

/// A job whose record cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableJob {
    /// The organisation that owns the job.
    pub organisation: OrganisationId,
    /// The job.
    pub job: JobId,
    /// The version of the key of the record.
    pub version: u64,
    /// Why the record cannot be read.
    pub reason: String,
}

impl UnreadableJob {
    /// Describes the job that a key names; `None` if it names none.
    pub(super) fn new(entry: &KeyValue, err: &StateError) -> Option<Self> {
        let mut parts = entry.key.rsplitn(3, '/');
        let job = parts.next()?.parse().ok()?;
        let organisation = parts.next()?.parse().ok()?;
        Some(Self {
            organisation,
            job,
            version: entry.version,
            reason: err.to_string(),
        })
    }
}
