use super::SimulatedSite;
use lycheeyard_jobs::{BootTime, StartAnswer, TaskKey};
use lycheeyard_protocol::WorkerId;
use std::{collections::BTreeMap, time::Duration};

/// Tasks that crash the workers that start them.
#[derive(Clone, Debug)]
pub struct CrashingTasks {
    /// The tasks, with the number of workers that have crashed under each.
    pub crashes: BTreeMap<TaskKey, u32>,
    /// The time from the start of such a task until its worker crashes.
    pub run_time: Duration,
    /// The time until a crashed worker is back, under its id and as a new incarnation.
    pub downtime: Duration,
    /// Whether the answer to the start of such a task arrives.
    pub start_call: StartCallOutcome,
}

/// Whether the answer to a start order arrives before its worker crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartCallOutcome {
    /// The scheduler learns that the run has started.
    Answered,
    /// The answer is lost with the worker.
    Lost,
}

impl Default for CrashingTasks {
    fn default() -> Self {
        Self {
            crashes: BTreeMap::new(),
            run_time: Duration::from_millis(10),
            downtime: Duration::from_secs(3),
            start_call: StartCallOutcome::Answered,
        }
    }
}

impl SimulatedSite {
    /// Crashes a worker, which is back after the downtime.
    pub fn crash_worker(&mut self, id: &WorkerId) {
        let until = self.now.boot.after(self.crashing_tasks.downtime);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.clear();
            worker.ended.clear();
            worker.down_until = Some(until);
        }
    }

    /// Starts a worker again under its id, without runs. The scheduler learns it from [`Self::list_worker`], and late orders for
    /// the former incarnation are still carried out.
    pub fn restart_worker(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.restart();
        }
    }

    /// Crashes the workers on which crashing tasks have run for their time.
    pub(super) fn crash_workers(&mut self) {
        let now = self.now.boot;
        let mut down: Vec<WorkerId> = Vec::new();
        for (id, worker) in &self.workers {
            for (task, run) in &worker.runs {
                let Some(crashes) = self.crashing_tasks.crashes.get_mut(task) else {
                    continue;
                };
                if run
                    .started_at
                    .after(self.crashing_tasks.run_time)
                    .is_past(now)
                {
                    *crashes += 1;
                    down.push(id.clone());
                }
            }
        }
        for id in down {
            self.crash_worker(&id);
        }
    }

    /// Lists the crashed workers that are back.
    pub(super) fn restart_workers(&mut self) {
        let now = self.now.boot;
        let is_back = |until: BootTime| until.is_past(now);
        for worker in self.workers.values_mut() {
            if worker.down_until.is_some_and(is_back) {
                worker.restart();
                self.scheduler.worker_listed(worker.info.clone(), self.now);
            }
        }
    }

    /// Returns what the scheduler learns about a start order.
    pub(super) fn answer_before_crash(&self, task: &TaskKey, answer: StartAnswer) -> StartAnswer {
        let crashes = self.crashing_tasks.crashes.contains_key(task);
        match self.crashing_tasks.start_call {
            StartCallOutcome::Lost if crashes => StartAnswer::ConnectionLost,
            _ => answer,
        }
    }
}
