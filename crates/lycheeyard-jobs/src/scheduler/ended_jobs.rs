use super::{JobScheduler, Now};
use crate::{BootTime, EndedJob};
use lycheeyard_protocol::JobId;
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

/// How long a holder keeps the state of a job after it has archived the job or has found it in the archive. It is measured on the
/// holder's own clock: the stored time of the end is on the clock of the holder that archived the job.
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
    /// The archived jobs with the times at which their records may be deleted, the earliest first.
    expirations: VecDeque<(BootTime, JobId)>,
}

impl EndedJobs {
    pub fn add_durable(&mut self, id: JobId) {
        self.durable.push_back(id);
    }

    pub fn is_archived(&self, id: &JobId) -> bool {
        self.archived.contains(id)
    }

    /// Adds an archived job. Its retention begins when it is added for the first time.
    fn add_archived(&mut self, id: JobId, now: BootTime) {
        self.in_archiving.remove(&id);
        if self.archived.insert(id.clone()) {
            self.expirations.push_back((now.after(RETENTION), id));
        }
    }

    fn take_expired(&mut self, now: BootTime) -> Vec<JobId> {
        let mut expired = Vec::new();
        while let Some((expires_at, _)) = self.expirations.front()
            && expires_at.is_past(now)
            && let Some((_, id)) = self.expirations.pop_front()
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
    pub fn archive_listed(&mut self, jobs: Vec<EndedJob>, now: Now) {
        for ended in jobs {
            self.ended_jobs.add_archived(ended.job, now.boot);
        }
    }

    /// Forgets jobs that are archived, but for the times at which their records may be deleted.
    pub fn jobs_archived(&mut self, jobs: Vec<EndedJob>, now: Now) {
        for ended in jobs {
            self.jobs.remove(&ended.job);
            self.ended_jobs.add_archived(ended.job, now.boot);
        }
    }

    /// Takes the archived jobs whose retention is over, so that their records can be deleted.
    pub fn take_expired(&mut self, now: Now) -> Vec<JobId> {
        self.ended_jobs.take_expired(now.boot)
    }
}
