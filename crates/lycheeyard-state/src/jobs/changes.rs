use super::{StoredJob, stored::decode_job};
use crate::StateError;
use lycheeyard_protocol::platform::RangeReply;

/// Job records and the store version from which later changes can be watched.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobChanges {
    /// The records.
    pub jobs: Vec<StoredJob>,
    /// The store's version when they were read; if they were read in several pages, the version of the first page.
    pub version: u64,
}

impl JobChanges {
    pub(super) fn decode(reply: &RangeReply) -> Result<Self, StateError> {
        let jobs = reply.entries.iter().map(decode_job);
        Ok(Self {
            jobs: jobs.collect::<Result<_, _>>()?,
            version: reply.version,
        })
    }

    pub(super) fn extend(&mut self, page: Self) {
        self.jobs.extend(page.jobs);
    }
}
