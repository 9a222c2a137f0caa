use super::{JobScheduler, Now, Order, Run, RunPhase, StopOrder, StopReason, WorkerEntry};
use crate::{BootTime, Checkpoint, RunEnd, RunNumber, StepProgress, TaskKey};
use lycheeyard_protocol::JobState;

impl JobScheduler {
    /// Counts a run's resources against its worker.
    pub(crate) fn hold_resources(&mut self, task: &TaskKey, run: &Run, now: BootTime) {
        let lease_until = self.inherited_lease_until;
        let id = run.worker.id.clone();
        let entry = self
            .workers
            .entry(id)
            .or_insert_with(|| WorkerEntry::new(run.worker.clone(), now, lease_until));
        if entry.key == run.worker {
            entry.add(task, run);
        }
    }

    fn free_resources(&mut self, task: &TaskKey, run: &Run) {
        if let Some(entry) = self.worker_mut(&run.worker) {
            entry.remove(task, run);
        }
    }

    /// Ends a run that is still counted. Ends of other runs of the task change nothing.
    pub(crate) fn end_run(
        &mut self,
        task: &TaskKey,
        number: RunNumber,
        how: RunEnd,
        checkpoint: Option<Checkpoint>,
        now: Now,
    ) {
        if self.runs.get(task).is_none_or(|run| run.number != number) {
            return;
        }
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.free_resources(task, &run);
        self.plan_due = true;
        if run.kind.is_long_running() {
            self.delay_restart(task, &run, how, now.boot);
        } else {
            self.note_health(task, &run.worker.id, how, now.boot);
        }
        if how == RunEnd::Done {
            self.note_run_time(task, &run, now.boot);
        }
        let checkpoint = checkpoint.or_else(|| run.checkpoint.clone());
        self.record_end(task, number, how, checkpoint);
        self.follow_end(task, number, how, now);
    }

    /// Puts an end into the job's progress.
    fn record_end(
        &mut self,
        task: &TaskKey,
        number: RunNumber,
        how: RunEnd,
        checkpoint: Option<Checkpoint>,
    ) {
        let key = &task.step;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(described) = entry.job.steps.get(key.step) else {
            return;
        };
        let is_gang = described.gang;
        // However a long-running task ends, it is started again.
        let is_done = how == RunEnd::Done && !described.long_running;
        let Some(step) = entry.progress.step_mut(key.occurrence, key.step) else {
            return;
        };
        self.dirty_jobs.insert(key.job.clone());
        if is_gang && checkpoint.is_some() {
            step.gang_checkpoint.clone_from(&checkpoint);
        }
        if is_gang && how == RunEnd::Failed && step.failed_run < number {
            step.failed_run = number;
            step.gang_failures += 1;
        }
        if is_gang && is_done {
            step.tasks.iter_mut().for_each(|task| task.done = true);
        }
        let Some(progress) = step.tasks.get_mut(task.index) else {
            return;
        };
        progress.placement = None;
        if checkpoint.is_some() && !is_gang {
            progress.checkpoint = checkpoint;
        }
        progress.done |= is_done;
        if how == RunEnd::Failed && !is_gang {
            progress.failures += 1;
        }
    }

    /// Draws the consequences of an end for the gang and the job.
    fn follow_end(&mut self, task: &TaskKey, number: RunNumber, how: RunEnd, now: Now) {
        let key = &task.step;
        let Some(entry) = self.jobs.get(&key.job) else {
            return;
        };
        let job = entry.job.clone();
        let Some(step) = job.steps.get(key.step) else {
            return;
        };
        if how != RunEnd::Done {
            self.stop_gang(task, number);
        }
        let attempts = self.queue_policy(&job).max_attempts;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if how == RunEnd::Failed && !step.long_running {
            let progress = entry.progress.step_mut(key.occurrence, key.step);
            let failures = progress.map_or(0, |progress| {
                let own = progress
                    .tasks
                    .get(task.index)
                    .map_or(0, |task| task.failures);
                own.max(progress.gang_failures)
            });
            if failures >= attempts {
                self.end_job(&key.job, JobState::Failed, now);
                return;
            }
        }
        self.close_if_done(task, now);
    }

    /// Closes an occurrence whose tasks are all done, and the job with its last one.
    fn close_if_done(&mut self, task: &TaskKey, now: Now) {
        let Some(entry) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let occurrence = task.step.occurrence;
        let open = &mut entry.progress.open;
        let Some(steps) = open.get(&occurrence) else {
            return;
        };
        if !steps.iter().all(StepProgress::is_done) {
            return;
        }
        if steps.iter().all(StepProgress::is_idle) {
            open.remove(&occurrence);
        }
        let others = open
            .values()
            .any(|steps| !steps.iter().all(StepProgress::is_done));
        if !others && entry.progress.opened >= entry.job.occurrences() {
            let id = task.step.job.clone();
            self.end_job(&id, JobState::Succeeded, now);
        }
    }

    /// Stops the other members of a gang that cannot go on; for other steps it does nothing.
    pub(crate) fn stop_gang(&mut self, ended: &TaskKey, number: RunNumber) {
        if !self.step(&ended.step).is_some_and(|step| step.gang) {
            return;
        }
        let members: Vec<TaskKey> = self
            .runs_of(&ended.step)
            .filter(|(_, run)| run.number == number)
            .map(|(task, _)| task.clone())
            .collect();
        for member in members {
            self.request_stop(&member, StopReason::GangBroken);
        }
    }

    /// Stops a run, and with it the other members of its gang.
    pub(crate) fn stop_with_gang(&mut self, task: &TaskKey, reason: StopReason) {
        let Some(number) = self.runs.get(task).map(|run| run.number) else {
            return;
        };
        self.request_stop(task, reason);
        self.stop_gang(task, number);
    }

    /// Orders a run to stop. One that was never ordered to start is taken back at once.
    pub(crate) fn request_stop(&mut self, task: &TaskKey, reason: StopReason) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if run.phase == RunPhase::Planned {
            self.take_back(task);
            return;
        }
        if run.stop_reason.is_none() {
            run.stop_reason = Some(reason);
            self.order_stop(task);
        }
    }

    /// Removes a run for which nothing was sent.
    fn take_back(&mut self, task: &TaskKey) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.free_resources(task, &run);
        self.plan_due = true;
        self.record_end(task, run.number, RunEnd::NeverStarted, None);
    }

    /// Sends the order to stop a run to its worker.
    pub(crate) fn order_stop(&mut self, task: &TaskKey) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let Some(reason) = run.stop_reason else {
            return;
        };
        let worker = run.worker.clone();
        let number = run.number;
        self.push_stop(worker, task, number, reason);
    }

    pub(crate) fn push_stop(
        &mut self,
        worker: crate::WorkerKey,
        task: &TaskKey,
        run: RunNumber,
        reason: StopReason,
    ) {
        let info = self
            .worker_mut(&worker)
            .and_then(|entry| entry.info.as_ref());
        let Some(address) = info.map(|info| info.address) else {
            return;
        };
        self.orders.push(Order::Stop(StopOrder {
            worker,
            address,
            task: task.clone(),
            run,
            reason,
        }));
    }
}
