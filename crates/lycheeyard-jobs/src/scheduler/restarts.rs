use super::{JobScheduler, Run};
use crate::{BootTime, RunEnd, TaskKey};
use std::time::Duration;

/// A long-running task that worked for so long starts again at once.
const SETTLED: Duration = Duration::from_secs(3);
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const MAX_DOUBLINGS: u32 = 3;

/// When a long-running task that ended early may start again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Restart {
    /// How often in a row it ended early.
    early_ends: u32,
    pub not_before: BootTime,
}

impl JobScheduler {
    /// Puts the next start of a long-running task off that fails again and again right after its start.
    pub(super) fn delay_restart(&mut self, task: &TaskKey, run: &Run, how: RunEnd, now: BootTime) {
        let Some(entry) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let settled = run.present_since.map(|since| since.after(SETTLED));
        let is_early = how == RunEnd::Failed && settled.is_some_and(|time| !time.is_past(now));
        if !is_early {
            entry.restarts.remove(task);
            return;
        }
        let restart = entry.restarts.entry(task.clone()).or_default();
        let pause = FIRST_PAUSE * (1 << restart.early_ends.min(MAX_DOUBLINGS));
        restart.early_ends += 1;
        restart.not_before = now.after(pause);
        self.avoid_worker(task, &run.worker.id);
    }
}
