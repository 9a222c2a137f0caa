use super::{StoredJob, stored::decode_job};
use crate::StateError;
use lycheeyard_protocol::platform::RangeReply;

/// Records read from the store at one version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobChanges {
    /// The records.
    pub jobs: Vec<StoredJob>,
    /// The store's version at which they were read.
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

    pub(super) fn absorb(&mut self, page: Self) {
        self.jobs.extend(page.jobs);
    }
}
