use super::{JobScheduler, Now, Run, RunKind, RunPhase};
use crate::StepKey;
use lycheeyard_protocol::WorkerId;
use std::{collections::BTreeMap, time::Duration};

/// How often workers are compared.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// A run is compared only once at least this percentage of its work is done.
const MIN_PROGRESS_PERCENT: u8 = 15;
/// The runs of a step are compared only if there are at least this many.
const MIN_RUNS: usize = 3;
/// The weight of a new comparison in the moving average.
const SAMPLE_WEIGHT: f64 = 0.3;
/// At each comparison, the difference of a worker's slowdown from 1 is multiplied by this, so that a slow worker is
/// tried again.
const DECAY_FACTOR: f64 = 0.98;
/// Bounds the ratio of a single comparison, up and down.
const MAX_RATIO: f64 = 10.0;

impl JobScheduler {
    /// Updates the slowdown of the workers by comparing how fast tasks of the same step progress on them.
    pub(super) fn compare_workers(&mut self, now: Now) {
        if !self
            .slowdown_compared_at
            .after(COMPARE_INTERVAL)
            .is_past(now.boot)
        {
            return;
        }
        self.slowdown_compared_at = now.boot;
        for worker in self.workers.values_mut() {
            worker.slowdown = 1.0 + (worker.slowdown - 1.0) * DECAY_FACTOR;
        }
        for times in self.times_per_percent(now) {
            self.update_slowdown(times);
        }
    }

    /// The time that the running tasks of each step take per percent of their work, in seconds.
    fn times_per_percent(&self, now: Now) -> Vec<Vec<(WorkerId, f64)>> {
        let mut times: BTreeMap<&StepKey, Vec<(WorkerId, f64)>> = BTreeMap::new();
        for (task, run) in &self.runs {
            let is_gang = self.step(&task.step).is_none_or(|step| step.gang);
            if is_gang || !is_comparable(run) {
                continue;
            }
            let Some(since) = run.present_since else {
                continue;
            };
            let elapsed = now.boot.since(since).as_secs_f64();
            let time = elapsed / f64::from(run.progress.0);
            let row = (run.worker.id.clone(), time);
            times.entry(&task.step).or_default().push(row);
        }
        let rows = times.into_values();
        rows.filter(|rows| rows.len() >= MIN_RUNS).collect()
    }

    fn update_slowdown(&mut self, mut rows: Vec<(WorkerId, f64)>) {
        rows.sort_by(|a, b| a.1.total_cmp(&b.1));
        let median = rows[rows.len() / 2].1;
        for (id, time) in rows {
            if let Some(worker) = self.workers.get_mut(&id) {
                let ratio = (time / median).clamp(1.0 / MAX_RATIO, MAX_RATIO);
                worker.slowdown += SAMPLE_WEIGHT * (ratio - worker.slowdown);
            }
        }
    }
}

fn is_comparable(run: &Run) -> bool {
    run.phase == RunPhase::Present
        && run.stop_reason.is_none()
        && run.has_representative_run_time
        && run.kind == RunKind::Batch
        && run.progress.0 >= MIN_PROGRESS_PERCENT
}
