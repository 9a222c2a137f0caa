use super::{
    SimulatedSite,
    checks::Violation,
    gangs::{break_gangs, find_gangs, is_alone},
    simulated_site::STEP,
};
use lycheeyard_jobs::{RunEnd, RunNumber, StepKey, TaskKey};
use std::{collections::BTreeSet, time::Duration};

/// How long the other members of a gang take to end.
const BREAK_TIME: Duration = Duration::from_millis(100);
/// Response times may be over their limit for this long through work that fills.
const HARM_TIME: Duration = Duration::from_secs(4);

impl SimulatedSite {
    /// Lets the runs advance and ends those that are done, fail, lapse or wait in vain.
    pub(super) fn run_workers(&mut self) {
        let now = self.now.boot;
        let gangs = find_gangs(&self.workers);
        let mut broken: Vec<(StepKey, RunNumber)> = Vec::new();
        let whole: BTreeSet<(StepKey, RunNumber)> = gangs
            .iter()
            .filter(|((key, _), members)| members.len() == self.gang_size(key))
            .map(|(key, _)| key.clone())
            .collect();
        let mut alone = Vec::new();
        for worker in self.workers.values_mut() {
            let lapsed = worker.lease_until.is_past(now);
            if lapsed && let Some(last) = worker.ended.last() {
                worker.lapsed_through = last.number;
            }
            for (task, run) in &mut worker.runs {
                let key = (task.step.clone(), run.number);
                let waits = run.is_gang && !whole.contains(&key);
                if run.ending.is_some() {
                    broken.extend(run.is_gang.then_some(key));
                    continue;
                }
                if lapsed {
                    run.ending = Some((now, RunEnd::Lapsed));
                } else if waits && is_alone(run.started_at, now) {
                    run.ending = Some((now, RunEnd::PeersMissing));
                    alone.push(task.clone());
                } else if !waits && !worker.faults.hangs {
                    let share = f64::from(run.share.0) / 100.0;
                    run.done += STEP.div_f64(worker.faults.slowdown).mul_f64(share);
                    if run.fails_at.is_some_and(|at| run.done >= at) {
                        run.ending = Some((now, RunEnd::Failed));
                    } else if run.done >= run.total && run.ends() {
                        run.ending = Some((now, RunEnd::Done));
                    }
                }
                let breaks = run.ending.is_some_and(|(_, how)| how != RunEnd::Done);
                broken.extend((run.is_gang && breaks).then_some(key));
            }
        }
        if !self.allows_missing_peers {
            self.violations
                .extend(alone.into_iter().map(Violation::GangTimedOut));
        }
        let at = now.after(BREAK_TIME);
        break_gangs(&mut self.workers, &gangs, &broken, at);
        for worker in self.workers.values_mut() {
            worker.close_ended(now);
        }
        self.check_harm();
    }

    /// Checks how long response times have been over their limit through work that fills.
    fn check_harm(&mut self) {
        let now = self.now.boot;
        for worker in self.workers.values_mut() {
            if !worker.is_harmed() || worker.faults.is_partitioned {
                worker.harmed_since = None;
                continue;
            }
            let since = *worker.harmed_since.get_or_insert(now);
            if since.after(HARM_TIME).is_past(now) {
                worker.harmed_since = None;
                let id = worker.info.key.id.clone();
                self.violations.push(Violation::LatencyOverTarget(id));
            }
        }
    }

    /// Ends a run as if by itself.
    pub fn end_run(&mut self, task: &TaskKey, how: RunEnd) {
        let now = self.now.boot;
        for worker in self.workers.values_mut() {
            worker.begin_end(task, how, now);
        }
    }

    /// How many tasks of a step are at work.
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
