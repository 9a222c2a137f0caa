use super::simulated_run::{RunRole, SimulatedRun};
use lycheeyard_jobs::{
    BootTime, EndNumber, EndReport, Resources, RunEnd, RunNumber, RunReport, TaskKey, WorkerInfo,
    WorkerReport,
};
use lycheeyard_protocol::{Epoch, Percent};
use std::{collections::BTreeMap, time::Duration};

/// What makes a simulated worker misbehave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerFaults {
    /// It is cut off from the scheduler and runs on.
    pub is_cut: bool,
    /// All that it starts fails.
    pub fails: bool,
    /// Nothing on it advances.
    pub hangs: bool,
    /// How many times as long work takes.
    pub slowdown: f64,
    /// Orders get no answer and are carried out after this.
    pub order_delay: Option<Duration>,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            is_cut: false,
            fails: false,
            hangs: false,
            slowdown: 1.0,
            order_delay: None,
        }
    }
}

/// A worker in virtual time.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    /// Its description.
    pub info: WorkerInfo,
    /// What makes it misbehave.
    pub faults: WorkerFaults,
    /// Whether it refuses what does not fit.
    pub guards_capacity: bool,
    /// The tail of the response times on it, in milliseconds, without work that fills.
    pub base_tail_ms: u64,
    /// What each filling run at full speed adds to it, in milliseconds.
    pub disturbance_ms: u64,
    /// Whether the scheduler wants to hear of it often.
    pub(super) is_shared: bool,
    /// Since when response times have been over their limit through work that fills.
    pub(super) harmed_since: Option<BootTime>,
    pub(super) runs: BTreeMap<TaskKey, SimulatedRun>,
    pub(super) ended: Vec<EndReport>,
    pub(super) next_end: u64,
    /// The lease has run out since these ends were listed; their tasks may be run again.
    pub(super) lapsed_through: EndNumber,
    /// The highest run of a task that was stopped or has ended here.
    pub(super) closed: BTreeMap<TaskKey, RunNumber>,
    pub(super) epoch: Epoch,
    pub(super) lease_until: BootTime,
    pub(super) reported_at: BootTime,
    pub(super) reported_end: EndNumber,
}

impl SimulatedWorker {
    /// Makes a worker without runs.
    #[must_use]
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            faults: WorkerFaults::default(),
            guards_capacity: true,
            base_tail_ms: 0,
            disturbance_ms: 0,
            is_shared: false,
            harmed_since: None,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lapsed_through: EndNumber(0),
            closed: BTreeMap::new(),
            epoch: Epoch(0),
            lease_until: BootTime(0),
            reported_at: BootTime(0),
            reported_end: EndNumber(0),
        }
    }

    /// What its runs hold.
    #[must_use]
    pub fn used(&self) -> Resources {
        let demands = self.runs.values().map(|run| run.demand);
        demands.fold(Resources::default(), |sum, demand| {
            sum.saturating_add(&demand)
        })
    }

    /// The tasks that run here.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskKey> {
        self.runs.keys()
    }

    /// The share of its speed at which a run works, if it runs here.
    #[must_use]
    pub fn share(&self, task: &TaskKey) -> Option<Percent> {
        self.runs.get(task).map(|run| run.share)
    }

    /// The tail of the response times in milliseconds.
    #[must_use]
    pub fn tail_ms(&self) -> u64 {
        let filling = self
            .runs
            .values()
            .filter(|run| run.role == RunRole::Filling);
        let shares: u64 = filling.map(|run| u64::from(run.share.0)).sum();
        self.base_tail_ms + self.disturbance_ms * shares / 100
    }

    /// Whether response times are over their limit only through work that fills.
    pub(super) fn is_harmed(&self) -> bool {
        let tail = self.tail_ms();
        let targets = self.runs.values().filter_map(SimulatedRun::target_ms);
        let over = targets.filter(|target| tail > *target && self.base_tail_ms <= *target);
        over.count() > 0
    }

    /// Begins a new life, without runs.
    pub(super) fn restart(&mut self) {
        let mut info = self.info.clone();
        info.key.incarnation.0 += 1;
        info.draining = false;
        *self = Self {
            guards_capacity: self.guards_capacity,
            base_tail_ms: self.base_tail_ms,
            disturbance_ms: self.disturbance_ms,
            ..Self::new(info)
        };
    }

    /// Begins to end a run; it is listed as ended after `takes`.
    pub(super) fn begin_end(&mut self, task: &TaskKey, how: RunEnd, at: BootTime) {
        if let Some(run) = self.runs.get_mut(task)
            && run.ending.is_none()
        {
            run.ending = Some((at, how));
        }
    }

    /// Lists the runs that are over by now as ended.
    pub(super) fn close_ended(&mut self, now: BootTime) {
        let over: Vec<(TaskKey, RunEnd)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match run.ending {
                Some((at, how)) if at.is_past(now) => Some((task.clone(), how)),
                _ => None,
            })
            .collect();
        for (task, how) in over {
            let Some(run) = self.runs.remove(&task) else {
                continue;
            };
            self.closed.insert(task.clone(), run.number);
            self.ended.push(EndReport {
                number: EndNumber(self.next_end),
                task,
                run: run.number,
                outcome: how,
                checkpoint: run.checkpoint(),
            });
            self.next_end += 1;
        }
    }

    /// What it says of its runs. A run that is being ended is in neither list.
    pub(super) fn report(&self, now: BootTime) -> WorkerReport {
        let live = self.runs.iter().filter(|(_, run)| run.ending.is_none());
        WorkerReport {
            worker: self.info.key.clone(),
            polled_at: now,
            received_at: now,
            running: live
                .map(|(task, run)| RunReport {
                    task: task.clone(),
                    run: run.number,
                    checkpoint: run.checkpoint(),
                    progress: Percent(run.percent()),
                    recent: run.target_ms().map(|_| self.tail_ms()),
                })
                .collect(),
            ended: self.ended.clone(),
            is_partial: false,
        }
    }
}
