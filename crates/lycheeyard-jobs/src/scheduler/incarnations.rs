use super::{Evidence, IncarnationChange, IncarnationDecision, JobScheduler, Now, Run, RunPhase};
use crate::{BootTime, Placement, TaskKey, WorkerInfo, WorkerKey};
use lycheeyard_protocol::Incarnation;
use std::{collections::BTreeSet, time::Duration};

/// How much later an order that got no answer may still be carried out. The deadline of an order holds on the clock of one
/// incarnation only.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

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
    /// `seen_at` is when the former incarnation was last seen: the present one has not carried out anything before.
    fn of(run: &Run, seen_at: BootTime, present: &WorkerKey) -> Self {
        let has_late_copy = !run.copies_until.is_past(seen_at);
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
    /// Takes the changes of the incarnations of workers since the last call.
    pub fn take_incarnation_changes(&mut self) -> Vec<IncarnationChange> {
        std::mem::take(&mut self.incarnation_changes)
    }

    /// Records that another incarnation of a worker answers at its address. It gets no new runs before it is listed.
    ///
    /// Ignored if that incarnation is `former` itself or is known to have ended, or if `former` is not taken as the present one any
    /// more.
    pub fn worker_restarted(&mut self, former: &WorkerKey, incarnation: Incarnation, now: Now) {
        if incarnation == former.incarnation {
            return;
        }
        let info = self.worker_mut(former).and_then(|entry| entry.info.clone());
        let Some(mut info) = info else {
            return;
        };
        info.key.incarnation = incarnation;
        if self.has_ended(&info.key) {
            self.note_change(former, incarnation, IncarnationDecision::ReportIgnored);
            return;
        }
        self.note_change(former, incarnation, IncarnationDecision::Reported);
        let listed = self.others_mut(&former.id).take_listing(incarnation);
        let is_listed = listed.is_some();
        self.set_incarnation(listed.unwrap_or(info), Evidence::Report, now);
        // It was asked after it had been named, and another one answered.
        self.others_mut(&former.id).note_ended(former.incarnation);
        if let Some(entry) = self.workers.get_mut(&former.id) {
            entry.is_listed = is_listed;
        }
    }

    /// Notes what was decided on a listing that names another incarnation than the present one.
    pub(super) fn note_listing(&mut self, listed: &WorkerKey, decision: IncarnationDecision) {
        let entry = self.workers.get(&listed.id);
        let present = entry.map(|entry| entry.key.clone());
        if let Some(present) = present.filter(|present| present != listed) {
            self.note_change(&present, listed.incarnation, decision);
        }
    }

    fn note_change(
        &mut self,
        former: &WorkerKey,
        incarnation: Incarnation,
        decision: IncarnationDecision,
    ) {
        self.incarnation_changes.push(IncarnationChange {
            worker: former.id.clone(),
            former: former.incarnation,
            incarnation,
            decision,
        });
    }

    /// Gives a worker an entry for the incarnation that is there now, in place of one for another incarnation or of one that was
    /// made for the records of runs. Ends the runs of other incarnations, but for those that may run on this one: these are
    /// kept there until its reports show it.
    pub(super) fn set_incarnation(&mut self, info: WorkerInfo, evidence: Evidence, now: Now) {
        let key = info.key.clone();
        self.note_present(&key);
        let former = self.workers.get(&key.id);
        let seen_at = former.map_or(BootTime(0), |entry| entry.seen_at);
        let tasks = former.map(|entry| entry.tasks.clone());
        let tasks = tasks.unwrap_or_default();
        let suspects = if self.is_crash_proven(&key, evidence) {
            self.crash_suspects(&self.tasks_elsewhere(&tasks, &key))
        } else {
            Vec::new()
        };
        self.note_crash_suspects(&suspects);
        let mut entry = self.new_worker_entry(&key, now.boot);
        entry.is_evacuated = self.evacuated_data_centres.contains(&info.data_centre);
        entry.info = Some(info);
        entry.evidence = evidence;
        if self.is_other_incarnation(&key) {
            // Until it reports, it may carry out late orders and report requests for a former incarnation.
            if let Some(former) = self.workers.get(&key.id) {
                entry.continue_leases(former);
                let late_at = former.last_extension_at.after(MAX_ORDER_DELAY);
                entry.late_lease_until = self.lease_end(late_at);
            }
        }
        self.workers.insert(key.id.clone(), entry);
        self.plan_due = true;
        for task in &tasks {
            self.continue_on_incarnation(task, seen_at, &key, now);
        }
        self.count_crashes_of_ended_runs(suspects, now);
    }

    /// Whether the entry of a worker is of another incarnation than `key`.
    fn is_other_incarnation(&self, key: &WorkerKey) -> bool {
        self.workers
            .get(&key.id)
            .is_some_and(|entry| entry.key != *key)
    }

    /// Whether the incarnation before has ended if `evidence` shows `key`. A listing with a lower number may be outdated, so that the
    /// incarnation before may be there, and the listed one may have ended before it.
    fn is_crash_proven(&self, key: &WorkerKey, evidence: Evidence) -> bool {
        let entry = self.workers.get(&key.id);
        let former = entry.map(|entry| entry.evidence);
        evidence != Evidence::LowerListing && former != Some(Evidence::LowerListing)
    }

    /// The tasks whose runs are on another incarnation than `key`.
    fn tasks_elsewhere(&self, tasks: &BTreeSet<TaskKey>, key: &WorkerKey) -> BTreeSet<TaskKey> {
        let is_elsewhere =
            |task: &&TaskKey| self.runs.get(task).is_some_and(|run| run.worker != *key);
        tasks.iter().filter(is_elsewhere).cloned().collect()
    }

    /// Decides what becomes of a run on a worker whose entry was replaced by one for the incarnation `key`. The former one was last
    /// seen at `seen_at`.
    fn continue_on_incarnation(
        &mut self,
        task: &TaskKey,
        seen_at: BootTime,
        key: &WorkerKey,
        now: Now,
    ) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        match RunFate::of(run, seen_at, key) {
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
            progress.has_begun = false;
            self.dirty_jobs.insert(task.step.job.clone());
        }
    }
}
