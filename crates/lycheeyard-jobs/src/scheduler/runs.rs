use super::{
    JobScheduler, Now, Order, Run, RunPhase, StopOrder, StopReason, reports::UNLISTED_MARGIN,
    ticks::STOP_RETRY_INTERVAL,
};
use crate::{BootTime, Checkpoint, RunEnd, RunNumber, StepProgress, TaskKey};
use lycheeyard_protocol::JobState;
use std::time::Duration;

/// Margin added to the stop timeout before a stop counts as overdue: the order may have to be sent once more, and a report has to list
/// the end.
const STOP_MARGIN: Duration = STOP_RETRY_INTERVAL.saturating_add(UNLISTED_MARGIN);

impl JobScheduler {
    /// Allocates a run's resources on its worker, which gets an entry if it has none. The entry may be of another
    /// incarnation until the worker is listed, since the records of runs can name several.
    pub(crate) fn allocate_resources(&mut self, task: &TaskKey, run: &Run, now: BootTime) {
        let id = run.worker.id.clone();
        if !self.workers.contains_key(&id) {
            let entry = self.new_worker_entry(&run.worker, now);
            self.workers.insert(id.clone(), entry);
        }
        if let Some(entry) = self.workers.get_mut(&id) {
            entry.add_run(task, run);
        }
    }

    fn release_resources(&mut self, task: &TaskKey, run: &Run) {
        // Until the worker is listed, its entry may be of another incarnation than the run.
        if let Some(entry) = self.workers.get_mut(&run.worker.id) {
            entry.remove_run(task, run);
        }
    }

    /// Ends the current run of a task. Does nothing if the task's current run has another number.
    pub(crate) fn end_run(
        &mut self,
        task: &TaskKey,
        number: RunNumber,
        outcome: RunEnd,
        checkpoint: Option<Checkpoint>,
        now: Now,
    ) {
        if self.runs.get(task).is_none_or(|run| run.number != number) {
            return;
        }
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.release_resources(task, &run);
        self.plan_due = true;
        if run.kind.is_long_running() {
            self.delay_restart(task, &run, outcome, now.boot);
        } else {
            self.record_health(task, &run.worker.id, outcome, now.boot);
        }
        self.record_speed(task, &run, outcome, now.boot);
        if outcome == RunEnd::Done {
            self.record_run_time(task, &run, now.boot);
        }
        let checkpoint = checkpoint.filter(Checkpoint::is_storable);
        let checkpoint = checkpoint.or_else(|| run.checkpoint.clone());
        self.record_end(task, number, outcome, checkpoint);
        self.apply_end_effects(task, number, outcome, now);
    }

    /// Records the end of a run in the job's progress.
    fn record_end(
        &mut self,
        task: &TaskKey,
        number: RunNumber,
        outcome: RunEnd,
        checkpoint: Option<Checkpoint>,
    ) {
        let key = &task.step;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(definition) = entry.job.steps.get(key.step) else {
            return;
        };
        let is_gang = definition.gang;
        // A long-running task is restarted however it ends, so it is never done.
        let is_done = outcome == RunEnd::Done && !definition.long_running;
        let Some(step) = entry.progress.step_mut(key.occurrence, key.step) else {
            return;
        };
        self.dirty_jobs.insert(key.job.clone());
        if is_gang && checkpoint.is_some() {
            step.gang_checkpoint.clone_from(&checkpoint);
        }
        if is_gang && outcome == RunEnd::Failed && step.failed_run < number {
            step.failed_run = number;
            step.gang_failures = step.gang_failures.saturating_add(1);
        }
        if is_gang && is_done {
            step.tasks.iter_mut().for_each(|task| task.done = true);
        }
        let Some(progress) = step.tasks.get_mut(task.index) else {
            return;
        };
        progress.placement = None;
        progress.has_begun = false;
        progress.is_answered = false;
        if checkpoint.is_some() && !is_gang {
            progress.checkpoint = checkpoint;
        }
        progress.done |= is_done;
        if progress.done {
            progress.checkpoint = None;
        }
        if outcome == RunEnd::Failed && !is_gang {
            progress.failures = progress.failures.saturating_add(1);
        }
    }

    /// Applies the end of a run to its gang and its job: stops the rest of the gang unless the run is done, and ends
    /// the job if it has failed or is complete.
    fn apply_end_effects(&mut self, task: &TaskKey, number: RunNumber, outcome: RunEnd, now: Now) {
        let key = &task.step;
        let Some(entry) = self.jobs.get(&key.job) else {
            return;
        };
        let job = entry.job.clone();
        let Some(step) = job.steps.get(key.step) else {
            return;
        };
        if outcome != RunEnd::Done {
            self.stop_gang(task, number, now.boot);
        }
        let attempts = self.queue_policy(&job).max_attempts;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if outcome == RunEnd::Failed && !step.long_running {
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

    /// Closes an occurrence once all its tasks are done and idle, and ends the job once all its occurrences are done.
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

    /// Stops all members of a gang that belong to run `number`. Does nothing for other steps.
    pub(crate) fn stop_gang(&mut self, task: &TaskKey, number: RunNumber, now: BootTime) {
        if !self.step(&task.step).is_some_and(|step| step.gang) {
            return;
        }
        let members: Vec<TaskKey> = self
            .runs_of(&task.step)
            .filter(|(_, run)| run.number == number)
            .map(|(task, _)| task.clone())
            .collect();
        for member in members {
            self.request_stop(&member, StopReason::GangBroken, now);
        }
    }

    /// Stops a run together with the other members of its gang.
    pub(crate) fn stop_with_gang(&mut self, task: &TaskKey, reason: StopReason, now: BootTime) {
        let Some(number) = self.runs.get(task).map(|run| run.number) else {
            return;
        };
        self.request_stop(task, reason, now);
        self.stop_gang(task, number, now);
    }

    /// By when a run ends whose stop is requested now, if its worker carries out the order in time.
    pub(crate) fn stop_ends_by(&self, now: BootTime) -> BootTime {
        now.after(self.limits.stop_timeout + STOP_MARGIN)
    }

    /// Requests the stop of a run. A run that was never ordered to start is withdrawn at once.
    pub(crate) fn request_stop(&mut self, task: &TaskKey, reason: StopReason, now: BootTime) {
        let ends_by = self.stop_ends_by(now);
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if run.phase == RunPhase::Planned {
            self.withdraw_planned_run(task);
            return;
        }
        if run.stop_reason.is_none() {
            run.stop_reason = Some(reason);
            run.ends_by = Some(ends_by);
            self.push_requested_stop(task);
        }
    }

    /// Removes a planned run, for which no order has been sent.
    fn withdraw_planned_run(&mut self, task: &TaskKey) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.release_resources(task, &run);
        self.plan_due = true;
        self.record_end(task, run.number, RunEnd::NeverStarted, None);
    }

    /// Queues the stop order for a run whose stop was requested.
    pub(crate) fn push_requested_stop(&mut self, task: &TaskKey) {
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

    /// Queues a stop order, unless the worker's address is unknown.
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
