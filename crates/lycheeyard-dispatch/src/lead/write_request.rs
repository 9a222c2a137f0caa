use super::write_group::WrittenRecord;
use lycheeyard_jobs::{Batch, EndedJob, SpeedRecord, WaveNumber};
use lycheeyard_protocol::JobId;
use std::collections::BTreeSet;

/// A request to the writer.
#[derive(Debug)]
pub(super) enum WriteRequest {
    Batch(Batch),
    /// Replaces the records of jobs, as many as one transaction allows, by those of the archive.
    Archive(Vec<EndedJob>),
    /// Removes jobs from the archive.
    Remove(Vec<JobId>),
    /// Replaces the record of the speeds of workers.
    Speeds(SpeedRecord),
}

impl WriteRequest {
    /// Returns the jobs whose records the request writes.
    pub fn jobs(&self) -> BTreeSet<JobId> {
        match self {
            Self::Batch(batch) => batch
                .changes
                .iter()
                .map(|change| change.job.clone())
                .collect(),
            Self::Archive(jobs) => jobs.iter().map(|ended| ended.job.clone()).collect(),
            Self::Remove(jobs) => jobs.iter().cloned().collect(),
            Self::Speeds(_) => BTreeSet::new(),
        }
    }

    /// Removes what the store will never take, with the starts that wait for it.
    pub fn remove_rejected(&mut self, rejected: &BTreeSet<WrittenRecord>) {
        let is_rejected = |record: WrittenRecord| rejected.contains(&record);
        match self {
            Self::Batch(batch) => {
                batch.remove_jobs(|id| is_rejected(WrittenRecord::Job(id.clone())));
                let waves = &mut batch.waves;
                waves.retain(|change| !is_rejected(WrittenRecord::Wave(change.number)));
            }
            Self::Archive(jobs) => {
                jobs.retain(|ended| !is_rejected(WrittenRecord::ArchivedJob(ended.job.clone())));
            }
            Self::Remove(_) | Self::Speeds(_) => {}
        }
    }

    /// Returns the waves whose records the request writes.
    pub fn waves(&self) -> BTreeSet<WaveNumber> {
        match self {
            Self::Batch(batch) => batch.waves.iter().map(|change| change.number).collect(),
            Self::Archive(_) | Self::Remove(_) | Self::Speeds(_) => BTreeSet::new(),
        }
    }
}
