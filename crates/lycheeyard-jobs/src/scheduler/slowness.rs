use super::{JobScheduler, Now, Run, RunKind, RunPhase};
use crate::StepKey;
use lycheeyard_protocol::WorkerId;
use std::{collections::BTreeMap, time::Duration};

/// How often workers are compared.
const COMPARE_EVERY: Duration = Duration::from_secs(1);
/// A run is compared once so much of its work is done, in hundredths.
const MIN_DONE: u8 = 15;
/// So many runs of a step are needed for a comparison.
const MIN_RUNS: usize = 3;
/// How much a new comparison counts.
const WEIGHT: f64 = 0.3;
/// What is left of a difference after each comparison, so that workers get another chance.
const KEPT: f64 = 0.98;
/// Bounds a single comparison.
const MAX_RATIO: f64 = 10.0;

impl JobScheduler {
    /// Compares the workers by how fast tasks of the same step advance on them.
    pub(super) fn compare_workers(&mut self, now: Now) {
        if !self.compared_at.after(COMPARE_EVERY).is_past(now.boot) {
            return;
        }
        self.compared_at = now.boot;
        for worker in self.workers.values_mut() {
            worker.slowness = 1.0 + (worker.slowness - 1.0) * KEPT;
        }
        for totals in self.expected_totals(now) {
            self.compare(totals);
        }
    }

    /// How long the running tasks of each step are going to take in all, in milliseconds.
    fn expected_totals(&self, now: Now) -> Vec<Vec<(WorkerId, f64)>> {
        let mut totals: BTreeMap<&StepKey, Vec<(WorkerId, f64)>> = BTreeMap::new();
        for (task, run) in &self.runs {
            let is_gang = self.step(&task.step).is_none_or(|step| step.gang);
            if is_gang || !is_comparable(run) {
                continue;
            }
            let Some(since) = run.present_since else {
                continue;
            };
            let elapsed = now.boot.since(since).as_secs_f64();
            let total = elapsed / f64::from(run.progress.0);
            let row = (run.worker.id.clone(), total);
            totals.entry(&task.step).or_default().push(row);
        }
        let rows = totals.into_values();
        rows.filter(|rows| rows.len() >= MIN_RUNS).collect()
    }

    fn compare(&mut self, mut rows: Vec<(WorkerId, f64)>) {
        rows.sort_by(|a, b| a.1.total_cmp(&b.1));
        let usual = rows[rows.len() / 2].1;
        for (id, total) in rows {
            if let Some(worker) = self.workers.get_mut(&id) {
                let ratio = (total / usual).clamp(1.0 / MAX_RATIO, MAX_RATIO);
                worker.slowness += WEIGHT * (ratio - worker.slowness);
            }
        }
    }
}

fn is_comparable(run: &Run) -> bool {
    run.phase == RunPhase::Present
        && run.stop_reason.is_none()
        && run.is_from_scratch
        && run.kind == RunKind::Batch
        && run.progress.0 >= MIN_DONE
}
