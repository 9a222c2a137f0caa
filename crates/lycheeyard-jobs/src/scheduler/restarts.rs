use super::{JobScheduler, Run};
use crate::{BootTime, RunEnd, TaskKey};
use std::time::Duration;

/// A long-running task that fails after at least this long is restarted at once, and a run that has gone on for so long is not
/// the first to be suspected when its worker crashes.
pub(crate) const STABLE_AFTER: Duration = Duration::from_secs(3);
const BASE_DELAY: Duration = Duration::from_millis(250);
const MAX_DELAY_DOUBLINGS: u32 = 3;

/// Restart delay of a long-running task that fails soon after its start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Restart {
    /// How many times in a row it has failed soon after its start.
    early_failures: u32,
    pub not_before: BootTime,
}

impl JobScheduler {
    /// Delays the next start of a long-running task that failed soon after its start, longer after each such failure.
    pub(super) fn delay_restart(
        &mut self,
        task: &TaskKey,
        run: &Run,
        outcome: RunEnd,
        now: BootTime,
    ) {
        let Some(entry) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let stable_at = run.present_since.map(|since| since.after(STABLE_AFTER));
        let is_early =
            outcome == RunEnd::Failed && stable_at.is_some_and(|time| !time.is_past(now));
        if !is_early {
            entry.restarts.remove(task);
            return;
        }
        let restart = entry.restarts.entry(task.clone()).or_default();
        let delay = BASE_DELAY * (1 << restart.early_failures.min(MAX_DELAY_DOUBLINGS));
        restart.early_failures += 1;
        restart.not_before = now.after(delay);
        self.avoid_worker(task, &run.worker.id);
    }
}
