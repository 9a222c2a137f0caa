use super::{
    SimulatedSite,
    checks::Violation,
    gangs::{break_gangs, find_gangs, gang_paces, has_timed_out, pace},
    simulated_site::TICK,
};
use lycheeyard_jobs::{RunEnd, RunNumber, StepKey, TaskKey};
use std::{collections::BTreeSet, time::Duration};

/// How long the other members of a broken gang take to end.
const GANG_STOP_DURATION: Duration = Duration::from_millis(100);
/// How long best-effort work may keep response times over their target.
const MAX_TIME_OVER_TARGET: Duration = Duration::from_secs(4);

impl SimulatedSite {
    /// Advances the runs and ends those that succeed, fail, lose their lease or time out waiting for their gang.
    pub(super) fn run_workers(&mut self) {
        let now = self.now.boot;
        let gangs = find_gangs(&self.workers);
        let mut broken: Vec<(StepKey, RunNumber)> = Vec::new();
        let complete: BTreeSet<(StepKey, RunNumber)> = gangs
            .iter()
            .filter(|((key, _), members)| members.len() == self.gang_size(key))
            .map(|(key, _)| key.clone())
            .collect();
        let mut timed_out = Vec::new();
        let paces = gang_paces(&self.workers, self.limits.remote_slowdown);
        for worker in self.workers.values_mut() {
            let has_lapsed = worker.lease_until.is_past(now);
            if has_lapsed && let Some(last) = worker.ended.last() {
                worker.lapsed_through = last.number;
            }
            for (task, run) in &mut worker.runs {
                let key = (task.step.clone(), run.number);
                let waits = run.is_gang && !complete.contains(&key);
                if run.ending.is_some() {
                    broken.extend(run.is_gang.then_some(key));
                    continue;
                }
                if has_lapsed {
                    run.ending = Some((now, RunEnd::Lapsed));
                } else if waits && has_timed_out(run.started_at, now) {
                    run.ending = Some((now, RunEnd::PeersMissing));
                    timed_out.push(task.clone());
                } else if !waits && !worker.faults.hangs {
                    let own = pace(&worker.faults, run);
                    run.done += TICK.mul_f64(paces.get(&key).copied().unwrap_or(own));
                    if run.fails_at.is_some_and(|at| run.done >= at) {
                        run.ending = Some((now, RunEnd::Failed));
                    } else if run.done >= run.total && run.ends_when_done() {
                        run.ending = Some((now, RunEnd::Done));
                    }
                }
                let breaks = run
                    .ending
                    .is_some_and(|(_, outcome)| outcome != RunEnd::Done);
                broken.extend((run.is_gang && breaks).then_some(key));
            }
        }
        if !self.allows_missing_peers {
            self.violations
                .extend(timed_out.into_iter().map(Violation::GangTimedOut));
        }
        let at = now.after(GANG_STOP_DURATION);
        break_gangs(&mut self.workers, &gangs, &broken, at);
        for worker in self.workers.values_mut() {
            worker.finish_ended_runs(now);
        }
        self.check_latency_targets();
    }

    /// Checks how long best-effort work has kept response times over their target.
    fn check_latency_targets(&mut self) {
        let now = self.now.boot;
        for worker in self.workers.values_mut() {
            if !worker.is_over_target() || worker.faults.is_partitioned {
                worker.over_target_since = None;
                continue;
            }
            let since = *worker.over_target_since.get_or_insert(now);
            if since.after(MAX_TIME_OVER_TARGET).is_past(now) {
                worker.over_target_since = None;
                let id = worker.info.key.id.clone();
                self.violations.push(Violation::LatencyOverTarget(id));
            }
        }
    }

    /// Ends a run of a task on every worker, as if it ended by itself.
    pub fn end_run(&mut self, task: &TaskKey, outcome: RunEnd) {
        let now = self.now.boot;
        for worker in self.workers.values_mut() {
            worker.begin_ending(task, outcome, now);
        }
    }

    /// The number of tasks of a step that are fully started and not ending.
    #[must_use]
    pub fn ready_tasks(&self, step: &StepKey) -> usize {
        let workers = self.workers.values();
        let runs = workers.flat_map(|worker| worker.runs.iter());
        let runs = runs.filter(|(task, run)| task.step == *step && run.ending.is_none());
        runs.filter(|(_, run)| run.percent() == 100).count()
    }

    fn gang_size(&self, key: &StepKey) -> usize {
        let job = self.records.jobs.get(&key.job);
        job.map_or(0, |job| job.steps[key.step].tasks as usize)
    }
}
