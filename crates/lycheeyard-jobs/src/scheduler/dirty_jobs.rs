use super::{PlannedStarts, StartUrgency};
use lycheeyard_protocol::JobId;
use std::collections::BTreeMap;

/// One in so many records of a batch is that of the job that has waited longest, however urgent the others are.
const OLDEST_RECORDS_DIVISOR: usize = 5;

/// The jobs whose progress has changed since it was last taken for writing, in the order of their first change.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirtyJobs {
    /// The position of each job in that order.
    positions: BTreeMap<JobId, u64>,
    /// The jobs by position.
    jobs: BTreeMap<u64, JobId>,
    next_position: u64,
}

impl DirtyJobs {
    /// Adds a job; one that is there already keeps its position.
    pub fn insert(&mut self, id: JobId) {
        if self.contains(&id) {
            return;
        }
        self.jobs.insert(self.next_position, id.clone());
        self.positions.insert(id, self.next_position);
        self.next_position += 1;
    }

    pub fn contains(&self, id: &JobId) -> bool {
        self.positions.contains_key(id)
    }

    /// Takes up to `count` jobs. Those with urgent `starts` come first, the most urgent in front, but a part of the places
    /// is left to the jobs that have waited longest.
    pub fn take(&mut self, count: usize, starts: &BTreeMap<JobId, PlannedStarts>) -> Vec<JobId> {
        let mut taken = self.most_urgent(count - count / OLDEST_RECORDS_DIVISOR, starts);
        for id in &taken {
            if let Some(position) = self.positions.remove(id) {
                self.jobs.remove(&position);
            }
        }
        while taken.len() < count
            && let Some((_, id)) = self.jobs.pop_first()
        {
            self.positions.remove(&id);
            taken.push(id);
        }
        taken
    }

    /// Returns up to `count` jobs with urgent starts, the most urgent first, and the longest waiting first among equals.
    fn most_urgent(&self, count: usize, starts: &BTreeMap<JobId, PlannedStarts>) -> Vec<JobId> {
        let urgent = starts
            .iter()
            .filter(|(_, starts)| starts.urgency < StartUrgency::Ordinary);
        let mut urgent: Vec<(StartUrgency, u64, &JobId)> = urgent
            .filter_map(|(id, starts)| Some((starts.urgency, *self.positions.get(id)?, id)))
            .collect();
        urgent.sort_unstable();
        let ids = urgent.into_iter().map(|(.., id)| id.clone());
        ids.take(count).collect()
    }
}
