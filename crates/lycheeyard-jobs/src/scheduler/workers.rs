use super::{JobScheduler, Now, WorkerEntry};
use crate::{BootTime, RunEnd, TaskKey, WorkerInfo, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::collections::BTreeSet;

impl JobScheduler {
    /// Takes up what the list of workers says of one of them.
    pub fn worker_listed(&mut self, info: WorkerInfo, now: Now) {
        let id = info.key.id.clone();
        let known = self.workers.get(&id).map(|entry| entry.key.clone());
        if let Some(known) = known
            && known != info.key
        {
            if known.incarnation > info.key.incarnation {
                return;
            }
            self.worker_lost(&known, now);
            self.workers.remove(&id);
        }
        let lease_until = self.inherited_lease_until;
        let key = info.key.clone();
        if !self.workers.contains_key(&id) {
            self.lose_runs_of_other_lives(&key, now);
        }
        let entry = self
            .workers
            .entry(id)
            .or_insert_with(|| WorkerEntry::new(key, now.boot, lease_until));
        let changed = entry.info.as_ref() != Some(&info) || !entry.is_listed;
        entry.is_listed = true;
        entry.info = Some(info);
        self.plan_due |= changed;
    }

    /// Takes up the whole list of workers; those that are not in it are no longer listed.
    pub fn workers_listed(&mut self, workers: Vec<WorkerInfo>, now: Now) {
        let listed: BTreeSet<&WorkerId> = workers.iter().map(|info| &info.key.id).collect();
        let missing: Vec<WorkerId> = self
            .workers
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.worker_unlisted(&id);
        }
        for info in workers {
            self.worker_listed(info, now);
        }
    }

    /// Takes note that the list of workers no longer has one of them. It may still run what it has.
    pub fn worker_unlisted(&mut self, id: &WorkerId) {
        let Some(entry) = self.workers.get_mut(id) else {
            return;
        };
        entry.is_listed = false;
        if entry.tasks.is_empty() && entry.noted == entry.durable {
            self.workers.remove(id);
        }
    }

    /// Takes note that a life of a worker has ended: all its runs are over.
    pub fn worker_lost(&mut self, key: &WorkerKey, now: Now) {
        let Some(entry) = self.worker_mut(key) else {
            return;
        };
        entry.has_reported = false;
        let tasks: Vec<TaskKey> = entry.tasks.iter().cloned().collect();
        for task in tasks {
            self.lose_run(&task, now);
        }
    }

    /// Takes note that leases on a worker may last until `lease_max` after `sent_at`.
    pub fn lease_extended(&mut self, key: &WorkerKey, sent_at: BootTime) {
        let lease_until = self.lease_end(sent_at);
        if let Some(entry) = self.worker_mut(key) {
            entry.lease_until = entry.lease_until.max(lease_until);
        }
    }

    /// The workers that are to be asked for reports.
    pub fn workers_to_poll(&self) -> impl Iterator<Item = &WorkerInfo> {
        let entries = self.workers.values();
        let asked = entries.filter(|entry| entry.is_listed || !entry.tasks.is_empty());
        asked.filter_map(|entry| entry.info.as_ref())
    }

    fn lose_runs_of_other_lives(&mut self, key: &WorkerKey, now: Now) {
        let other = |worker: &WorkerKey| worker.id == key.id && worker != key;
        let tasks: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| other(&run.worker))
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            self.lose_run(&task, now);
        }
    }

    pub(crate) fn lose_run(&mut self, task: &TaskKey, now: Now) {
        if let Some(run) = self.runs.get(task) {
            let number = run.number;
            self.end_run(task, number, RunEnd::Lost, None, now);
        }
    }
}
