use crate::{
    BootTime, TaskKey,
    scheduler::{JobScheduler, Run},
};
use std::time::Duration;

/// How much the loss of a run counts by its priority; the last figure holds for all lower ones.
const IMPORTANCE: [u64; 3] = [6, 2, 1];
/// What a stop costs beside the work that is thrown away: the time until the run is at work again.
const RESTART_MS: u64 = 1000;
const PERCENT: u64 = 100;
/// Stands for the time until the end of a run that has none.
const NEVER: Duration = Duration::from_secs(24 * 3600);

impl JobScheduler {
    /// What the stop of a run costs its job, in thousandths of a core times milliseconds and weighed by its
    /// priority; for a gang, that of all members.
    pub(crate) fn stop_cost(&self, task: &TaskKey, run: &Run, now: BootTime) -> u64 {
        let Some(entry) = self.jobs.get(&task.step.job) else {
            return 0;
        };
        let Some(step) = entry.job.steps.get(task.step.step) else {
            return 0;
        };
        let members = if step.gang { u64::from(step.tasks) } else { 1 };
        let priority = self.queue_policy(&entry.job).priority as usize;
        let importance = IMPORTANCE[priority.min(IMPORTANCE.len() - 1)];
        let stops = u64::from(entry.preemptions.get(&task.step).copied().unwrap_or(0));
        run.demand
            .weighted_cpu_milli()
            .saturating_mul(unsaved_ms(run, now) + RESTART_MS)
            .saturating_mul(members)
            .saturating_mul(importance)
            .saturating_mul(1 + stops)
    }

    /// The priority of a task's job.
    pub(super) fn priority_of(&self, task: &TaskKey) -> Option<u32> {
        let entry = self.jobs.get(&task.step.job)?;
        Some(self.queue_policy(&entry.job).priority)
    }

    /// How long a run is expected to go on.
    pub(super) fn remaining_time(&self, task: &TaskKey, run: &Run, now: BootTime) -> Duration {
        if run.stop.is_some() {
            return self.limits.stop_timeout;
        }
        if run.kind.lasts() {
            return NEVER;
        }
        let expected = self.jobs.get(&task.step.job).map_or(0, |entry| {
            let step = entry.job.steps.get(task.step.step);
            let estimate = step.map_or(0, |step| step.expected_ms);
            self.run_times.correct(&entry.job.queue, estimate)
        });
        let Some(since) = run.present_since else {
            return Duration::from_millis(expected);
        };
        let elapsed = millis(now.since(since));
        let done = u64::from(run.done.0);
        if done == 0 {
            let rest = expected.saturating_sub(elapsed).max(expected / 4);
            return Duration::from_millis(rest);
        }
        let rest = elapsed.saturating_mul(PERCENT.saturating_sub(done)) / done;
        Duration::from_millis(rest)
    }
}

/// The time of work that no checkpoint keeps, in milliseconds.
fn unsaved_ms(run: &Run, now: BootTime) -> u64 {
    let Some(since) = run.present_since else {
        return 0;
    };
    let done = u64::from(run.done.0).max(1);
    let unsaved = u64::from(run.done.0.saturating_sub(run.saved.0));
    if run.saved.0 == 0 {
        return millis(now.since(since));
    }
    millis(now.since(since)).saturating_mul(unsaved) / done
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
