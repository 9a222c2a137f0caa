use lycheeyard_protocol::JobId;
use std::collections::BTreeMap;

/// The jobs whose progress has changed since it was last taken for writing, in the order of their first change.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirtyJobs {
    /// The position of each job in that order.
    positions: BTreeMap<JobId, u64>,
    next_position: u64,
}

impl DirtyJobs {
    /// Adds a job; one that is there already keeps its position.
    pub fn insert(&mut self, id: JobId) {
        self.positions.entry(id).or_insert(self.next_position);
        self.next_position += 1;
    }

    pub fn contains(&self, id: &JobId) -> bool {
        self.positions.contains_key(id)
    }

    /// Takes up to `count` jobs, the urgent ones first, and the longest waiting first among equals.
    pub fn take(&mut self, count: usize, is_urgent: impl Fn(&JobId) -> bool) -> Vec<JobId> {
        let ranked = self.positions.iter();
        let mut ranked: Vec<(bool, u64, JobId)> = ranked
            .map(|(id, &position)| (!is_urgent(id), position, id.clone()))
            .collect();
        if ranked.len() > count {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        let taken: Vec<JobId> = ranked.into_iter().map(|(.., id)| id).collect();
        for id in &taken {
            self.positions.remove(id);
        }
        taken
    }
}
