use super::{JobScheduler, Now};
use crate::EndedJob;
use lycheeyard_protocol::{JobId, Timestamp};
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

/// How long the state of a job is kept after its end.
const RETENTION: Duration = Duration::from_secs(300);

/// The jobs that have ended, and where their records are.
///
/// A job is archived once its last record is durable: one small record replaces all others, so that a new holder of the
/// scheduling lease reads only the records of the jobs that have not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndedJobs {
    /// Jobs whose last records are durable, in the order in which they became so.
    durable: VecDeque<JobId>,
    /// Jobs that are being archived.
    in_archiving: BTreeSet<JobId>,
    archived: BTreeSet<JobId>,
    /// The archived jobs by the time of their end.
    by_end: BTreeSet<(Timestamp, JobId)>,
}

impl EndedJobs {
    pub fn add_durable(&mut self, id: JobId) {
        self.durable.push_back(id);
    }

    pub fn is_archived(&self, id: &JobId) -> bool {
        self.archived.contains(id)
    }

    fn add_archived(&mut self, id: JobId, ended_at: Timestamp) {
        self.in_archiving.remove(&id);
        self.archived.insert(id.clone());
        self.by_end.insert((ended_at, id));
    }

    fn take_expired(&mut self, now: Timestamp) -> Vec<JobId> {
        let mut expired = Vec::new();
        while let Some((ended_at, _)) = self.by_end.first()
            && ended_at.after(RETENTION).is_past(now)
            && let Some((_, id)) = self.by_end.pop_first()
        {
            self.archived.remove(&id);
            expired.push(id);
        }
        expired
    }
}

impl JobScheduler {
    /// Takes up to `max_jobs` ended jobs, to be archived. Returns none while others are being archived.
    pub fn take_ended(&mut self, max_jobs: usize) -> Vec<EndedJob> {
        let mut taken = Vec::new();
        if !self.ended_jobs.in_archiving.is_empty() {
            return taken;
        }
        while taken.len() < max_jobs
            && let Some(id) = self.ended_jobs.durable.pop_front()
        {
            let Some(entry) = self.jobs.get(&id) else {
                continue;
            };
            // A record that is not durable yet adds the job again when it is.
            if self.dirty_jobs.contains(&id) || !entry.progress.is_settled() {
                continue;
            }
            if self.ended_jobs.in_archiving.insert(id) {
                taken.push(EndedJob::new(&entry.job, &entry.progress));
            }
        }
        taken
    }

    /// Notes jobs that earlier terms have archived.
    pub fn archive_listed(&mut self, jobs: Vec<EndedJob>) {
        for ended in jobs {
            self.ended_jobs.add_archived(ended.job, ended.ended_at);
        }
    }

    /// Forgets jobs that are archived, but for the times of their ends.
    pub fn jobs_archived(&mut self, jobs: Vec<EndedJob>) {
        for ended in jobs {
            self.jobs.remove(&ended.job);
            self.ended_jobs.add_archived(ended.job, ended.ended_at);
        }
    }

    /// Takes the archived jobs whose retention is over, so that their records can be deleted.
    pub fn take_expired(&mut self, now: Now) -> Vec<JobId> {
        self.ended_jobs.take_expired(now.wall)
    }
}
