use super::{StoredJob, UnreadableJob, stored::decode_job};
use lycheeyard_protocol::platform::RangeReply;

/// Job records and the store version from which later changes can be watched.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobChanges {
    /// The records.
    pub jobs: Vec<StoredJob>,
    /// The jobs whose records cannot be read.
    pub unreadable: Vec<UnreadableJob>,
    /// The store's version when they were read; if they were read in several pages, the version of the first page.
    pub version: u64,
}

impl JobChanges {
    /// Decodes records one by one, so that one that cannot be read hides none of the others. Keys that name no job are left out.
    pub(super) fn decode(reply: &RangeReply) -> Self {
        let mut changes = Self {
            version: reply.version,
            ..Self::default()
        };
        for entry in &reply.entries {
            match decode_job(entry) {
                Ok(job) => changes.jobs.push(job),
                Err(err) => changes.unreadable.extend(UnreadableJob::new(entry, &err)),
            }
        }
        changes
    }

    pub(super) fn extend(&mut self, page: Self) {
        self.jobs.extend(page.jobs);
        self.unreadable.extend(page.unreadable);
    }
}
