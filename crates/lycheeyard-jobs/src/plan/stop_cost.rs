use crate::{
    BootTime, TaskKey,
    scheduler::{JobScheduler, Run},
};
use std::time::Duration;

/// The weight of a run's stop cost by its priority; the last value applies to all lower priorities.
const PRIORITY_WEIGHTS: [u64; 3] = [6, 2, 1];
/// The part of a stop cost that does not depend on lost work: the time until the task runs again, in milliseconds.
const RESTART_MS: u64 = 1000;
const PERCENT: u64 = 100;
/// The remaining time assumed for a run without an expected end: it is long-running, or its worker does not stop it in time.
const UNKNOWN_REMAINING: Duration = Duration::from_secs(24 * 3600);

impl JobScheduler {
    /// Returns what stopping a run costs its job, in thousandths of a core times milliseconds, weighted by priority.
    /// A gang stops as a whole, so the cost counts all its members. The cost grows with each earlier preemption of
    /// the step.
    pub(crate) fn stop_cost(&self, task: &TaskKey, run: &Run, now: BootTime) -> u64 {
        let Some(entry) = self.jobs.get(&task.step.job) else {
            return 0;
        };
        let Some(step) = entry.job.steps.get(task.step.step) else {
            return 0;
        };
        let members = if step.gang { u64::from(step.tasks) } else { 1 };
        let priority = self.queue_policy(&entry.job).priority as usize;
        let weight = PRIORITY_WEIGHTS[priority.min(PRIORITY_WEIGHTS.len() - 1)];
        let earlier_preemptions =
            u64::from(entry.preemptions.get(&task.step).copied().unwrap_or(0));
        run.demand
            .weighted_cpu_milli()
            .saturating_mul(unsaved_work_ms(run, now).saturating_add(RESTART_MS))
            .saturating_mul(members)
            .saturating_mul(weight)
            .saturating_mul(1 + earlier_preemptions)
    }

    /// Estimates how much longer a run continues, from its reported progress or else from the expected run time.
    pub(super) fn remaining_time(&self, task: &TaskKey, run: &Run, now: BootTime) -> Duration {
        if run.is_stop_overdue(now) {
            return UNKNOWN_REMAINING;
        }
        if let Some(ends_by) = run.ends_by {
            return self.limits.stop_timeout.min(ends_by.since(now));
        }
        if run.kind.is_long_running() {
            return UNKNOWN_REMAINING;
        }
        let expected = self.jobs.get(&task.step.job).map_or(0, |entry| {
            let step = entry.job.steps.get(task.step.step);
            let estimate = step.map_or(0, |step| step.expected_ms);
            self.run_times.corrected_ms(&entry.job.queue, estimate)
        });
        let worker = self.workers.get(&run.worker.id);
        let expected = worker.map_or(expected, |worker| worker.speed().run_ms(expected));
        let Some(since) = run.present_since else {
            return Duration::from_millis(expected);
        };
        let elapsed = millis(now.since(since));
        let done = u64::from(run.progress.0);
        if done == 0 {
            let rest = expected.saturating_sub(elapsed).max(expected / 4);
            return Duration::from_millis(rest);
        }
        let rest = elapsed.saturating_mul(PERCENT.saturating_sub(done)) / done;
        Duration::from_millis(rest)
    }
}

/// Returns the run time that would be lost because no checkpoint covers it, in milliseconds.
fn unsaved_work_ms(run: &Run, now: BootTime) -> u64 {
    let Some(since) = run.present_since else {
        return 0;
    };
    let done = u64::from(run.progress.0).max(1);
    let unsaved = u64::from(run.progress.0.saturating_sub(run.checkpointed_progress.0));
    if run.checkpointed_progress.0 == 0 {
        return millis(now.since(since));
    }
    millis(now.since(since)).saturating_mul(unsaved) / done
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
