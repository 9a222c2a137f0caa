use super::{JobScheduler, Now, Run, RunPhase, WorkerEntry};
use crate::{BootTime, Placement, TaskKey, WorkerInfo, WorkerKey};
use lycheeyard_protocol::Incarnation;
use std::{collections::BTreeSet, time::Duration};

/// How much later an order that got no answer may still be carried out. The deadline of an order holds on the clock of one
/// incarnation only.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// What becomes of a run when a report or the list of workers shows which incarnation of its worker is there.
enum RunFate {
    /// It is on that incarnation.
    There,
    /// It ended with a former incarnation.
    Lost,
    /// Its start order named the worker by its id, and may reach or have reached that incarnation.
    MayRunThere,
}

impl RunFate {
    fn of(run: &Run, has_late_copy: bool, present: &WorkerKey) -> Self {
        if run.worker == *present {
            Self::There
        } else if run.phase == RunPhase::Planned || (run.is_reported && !has_late_copy) {
            Self::Lost
        } else {
            Self::MayRunThere
        }
    }
}

impl JobScheduler {
    /// Records that another incarnation of a worker answers at its address. It gets no new runs before it is listed.
    pub fn worker_restarted(&mut self, former: &WorkerKey, incarnation: Incarnation, now: Now) {
        let info = self.worker_mut(former).and_then(|entry| entry.info.clone());
        let Some(mut info) = info else {
            return;
        };
        info.key.incarnation = incarnation;
        self.set_incarnation(info, now);
        if let Some(entry) = self.workers.get_mut(&former.id) {
            entry.is_listed = false;
        }
    }

    /// Gives a worker an entry for the incarnation that is there now, in place of one for another incarnation or of one that was
    /// made for the records of runs. Ends the runs of other incarnations, but for those that may run on this one: these are
    /// kept there until its reports show it.
    pub(super) fn set_incarnation(&mut self, info: WorkerInfo, now: Now) {
        let key = info.key.clone();
        let tasks = self.workers.get(&key.id).map(|entry| entry.tasks.clone());
        let tasks = tasks.unwrap_or_default();
        let suspects = self.crash_suspects(&self.tasks_elsewhere(&tasks, &key));
        self.note_crash_suspects(&suspects);
        let mut entry = WorkerEntry::new(key.clone(), now.boot, self.inherited_lease_until);
        entry.info = Some(info);
        if self.is_other_incarnation(&key) {
            // Until it reports, it may carry out late report requests for a former incarnation, which extend its leases.
            entry.lease_until = self.lease_end(now.boot.after(MAX_ORDER_DELAY));
        }
        self.workers.insert(key.id.clone(), entry);
        self.plan_due = true;
        for task in &tasks {
            self.continue_on_incarnation(task, &key, now);
        }
        self.count_crashes_of_ended_runs(suspects, now);
    }

    /// Whether the entry of a worker is of another incarnation than `key`.
    fn is_other_incarnation(&self, key: &WorkerKey) -> bool {
        self.workers
            .get(&key.id)
            .is_some_and(|entry| entry.key != *key)
    }

    /// The tasks whose runs are on another incarnation than `key`.
    fn tasks_elsewhere(&self, tasks: &BTreeSet<TaskKey>, key: &WorkerKey) -> BTreeSet<TaskKey> {
        let is_elsewhere =
            |task: &&TaskKey| self.runs.get(task).is_some_and(|run| run.worker != *key);
        tasks.iter().filter(is_elsewhere).cloned().collect()
    }

    /// Decides what becomes of a run on a worker whose entry was replaced by one for the incarnation `key`.
    fn continue_on_incarnation(&mut self, task: &TaskKey, key: &WorkerKey, now: Now) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let has_late_copy = self.unanswered_starts.contains(&key.id, task, run.number);
        match RunFate::of(run, has_late_copy, key) {
            RunFate::There => {
                // The new entry has no runs yet.
                let run = run.clone();
                self.allocate_resources(task, &run, now.boot);
            }
            RunFate::Lost => self.end_run_as_lost(task, now),
            RunFate::MayRunThere => self.move_to_incarnation(task, key, now.boot),
        }
    }

    /// Keeps a run on the new incarnation of its worker until a report shows whether it is there.
    fn move_to_incarnation(&mut self, task: &TaskKey, key: &WorkerKey, now: BootTime) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        run.move_to_incarnation(key, now);
        let run = run.clone();
        // Until it is clear whether the former incarnation crashed under the run, a later holder has to find out too.
        if run.crash_suspect.is_none() {
            self.record_placement(task, key);
        }
        if let Some(entry) = self.worker_mut(key) {
            entry.add_run(task, &run);
            entry.unclear_runs.insert(task.clone());
        }
    }

    /// Records on which incarnation a run is, so that a later holder does not take the former one's crash for a new one.
    pub(super) fn record_placement(&mut self, task: &TaskKey, key: &WorkerKey) {
        let Some(entry) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let step = entry
            .progress
            .step_mut(task.step.occurrence, task.step.step);
        if let Some(progress) = step.and_then(|step| step.tasks.get_mut(task.index)) {
            progress.placement = Some(Placement(key.id.clone(), key.incarnation));
            self.dirty_jobs.insert(task.step.job.clone());
        }
    }
}
