use super::{SimulatedSite, checks::Violation};
use lycheeyard_jobs::{BootTime, Job, StartOrder, TaskKey};

impl SimulatedSite {
    /// Checks an executed start order against the guarantees of the scheduler and records violations.
    pub(super) fn check_start(
        &mut self,
        order: &StartOrder,
        job: &Job,
        fits: bool,
        sent_at: BootTime,
    ) {
        let task = &order.task;
        let step = &job.steps[task.step.step];
        let worker = self.workers[&order.worker.id].clone();
        let id = worker.info.key.id.clone();
        let mut found = Vec::new();
        let others = self
            .workers
            .values()
            .filter(|other| other.info.key.id != id);
        for other in others {
            if other.runs.contains_key(task) {
                found.push(Violation::DuplicateRun {
                    task: task.clone(),
                    run: order.run,
                    other: other.info.key.id.clone(),
                });
            }
        }
        if worker.runs.contains_key(task) {
            found.push(Violation::DuplicateRun {
                task: task.clone(),
                run: order.run,
                other: id.clone(),
            });
        }
        if !fits {
            found.push(Violation::OverCapacity {
                worker: id.clone(),
                task: task.clone(),
            });
        }
        if self.records.done.contains(task) && !step.long_running {
            found.push(Violation::StartedAfterDone(task.clone()));
        }
        if !self.records.has_run(task, order.run) {
            found.push(Violation::Unrecorded(task.clone()));
        }
        // A worker may execute an order after the cancellation if the order was sent before it.
        let cancelled_at = self.records.cancelled.get(&job.id);
        if cancelled_at.is_some_and(|cancelled_at| *cancelled_at <= sent_at) {
            found.push(Violation::StartedAfterCancel(task.clone()));
        }
        let siblings = worker.runs.keys().filter(|other| other.step == task.step);
        let sibling_count = u32::try_from(siblings.count()).unwrap_or(u32::MAX);
        if step
            .spread_limit
            .is_some_and(|limit| sibling_count >= limit)
        {
            found.push(Violation::OverSpreadLimit {
                worker: id.clone(),
                task: task.clone(),
            });
        }
        let label = step.required_label.as_ref();
        let policy = self.policy.queues.get(&job.queue).unwrap_or(&job.policy);
        let is_labelled = label.is_none_or(|label| worker.info.labels.contains(label));
        if !is_labelled || worker.info.service != policy.service {
            found.push(Violation::IneligibleWorker {
                worker: id,
                task: task.clone(),
            });
        }
        if self.starts_too_early(task, job) {
            found.push(Violation::StartedTooEarly(task.clone()));
        }
        if self.has_used_all_attempts(task, policy.max_attempts) && !step.long_running {
            found.push(Violation::OverMaxAttempts(task.clone()));
        }
        self.violations.extend(found);
    }

    fn starts_too_early(&self, task: &TaskKey, job: &Job) -> bool {
        let is_due =
            job.schedule.is_none() || job.due_at(task.step.occurrence).is_past(self.now.wall);
        let steps = self
            .progress(&job.id)
            .and_then(|progress| progress.open.get(&task.step.occurrence));
        let dependencies = &job.steps[task.step.step].after;
        let is_ready =
            steps.is_some_and(|steps| dependencies.iter().all(|step| steps[step].is_done()));
        !(is_due && is_ready)
    }

    fn has_used_all_attempts(&self, task: &TaskKey, attempts: u32) -> bool {
        let progress = self.progress(&task.step.job);
        let task = progress.and_then(|progress| progress.task(task));
        task.is_some_and(|task| task.failures >= attempts)
    }
}
