use super::{
    capacity::FormerCapacity,
    simulated_run::{RunRole, SimulatedRun},
};
use lycheeyard_jobs::{
    BootTime, EndNumber, EndReport, Resources, RunEnd, RunNumber, RunReport, TaskKey, WorkerInfo,
    WorkerReport,
};
use lycheeyard_protocol::{Epoch, Percent};
use std::{collections::BTreeMap, time::Duration};

/// The failures that a simulated worker injects.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the failures are independent, and any may be combined"
)]
pub struct WorkerFaults {
    /// The worker is cut off from the scheduler; its runs continue.
    pub is_partitioned: bool,
    /// All runs that it starts fail halfway through their work.
    pub fails: bool,
    /// All runs that it starts fail at once.
    pub fails_at_once: bool,
    /// Its runs make no progress.
    pub hangs: bool,
    /// The factor by which its runs take longer.
    pub slowdown: f64,
    /// If set, orders are executed after this delay; start orders are answered at once with
    /// [`StartAnswer::Unclear`](lycheeyard_jobs::StartAnswer::Unclear), other orders get no answer.
    pub order_delay: Option<Duration>,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            is_partitioned: false,
            fails: false,
            fails_at_once: false,
            hangs: false,
            slowdown: 1.0,
            order_delay: None,
        }
    }
}

/// A worker in virtual time.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    /// The description under which the worker is listed.
    pub info: WorkerInfo,
    /// The injected failures.
    pub faults: WorkerFaults,
    /// When the worker is back after a crash; `None` while it is up.
    pub(super) down_until: Option<BootTime>,
    /// Whether the worker rejects starts that exceed its capacity.
    pub enforces_capacity: bool,
    /// The capacities that it had before the one in `info`.
    pub(super) former_capacities: Vec<FormerCapacity>,
    /// The tail latency of services on the worker without best-effort work, in milliseconds.
    pub base_tail_ms: u64,
    /// The tail latency that each best-effort run at full speed adds, in milliseconds.
    pub interference_ms: u64,
    /// Whether the scheduler has asked for reports at the shorter interval.
    pub(super) reports_often: bool,
    /// When best-effort work began to keep response times over their target.
    pub(super) over_target_since: Option<BootTime>,
    pub(super) runs: BTreeMap<TaskKey, SimulatedRun>,
    pub(super) ended: Vec<EndReport>,
    pub(super) next_end: u64,
    /// The last end that was listed before the lease expired or while it was expired. The tasks of ends up to this one
    /// may be run again.
    pub(super) lapsed_through: EndNumber,
    /// The highest run of each task that was stopped or has ended on this worker.
    pub(super) last_closed: BTreeMap<TaskKey, RunNumber>,
    pub(super) epoch: Epoch,
    pub(super) lease_until: BootTime,
    pub(super) reported_at: BootTime,
    pub(super) reported_end: EndNumber,
}

impl SimulatedWorker {
    /// Creates a worker without runs.
    #[must_use]
    pub fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            faults: WorkerFaults::default(),
            down_until: None,
            enforces_capacity: true,
            former_capacities: Vec::new(),
            base_tail_ms: 0,
            interference_ms: 0,
            reports_often: false,
            over_target_since: None,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lapsed_through: EndNumber(0),
            last_closed: BTreeMap::new(),
            epoch: Epoch(0),
            lease_until: BootTime(0),
            reported_at: BootTime(0),
            reported_end: EndNumber(0),
        }
    }

    /// The resources that the runs on the worker hold.
    #[must_use]
    pub fn used(&self) -> Resources {
        let demands = self.runs.values().map(|run| run.demand);
        demands.fold(Resources::default(), |sum, demand| {
            sum.saturating_add(&demand)
        })
    }

    /// Whether the scheduler cannot reach the worker.
    pub(super) fn is_unreachable(&self) -> bool {
        self.faults.is_partitioned || self.down_until.is_some()
    }

    /// Whether a report request is for this incarnation and sent to its address.
    pub(super) fn is_asked_by(&self, asked: &WorkerInfo) -> bool {
        asked.key == self.info.key && asked.address == self.info.address
    }

    /// The tasks that run on the worker.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskKey> {
        self.runs.keys()
    }

    /// The current throttle of a task as a share of full speed, or `None` if the task does not run here.
    #[must_use]
    pub fn cpu_share(&self, task: &TaskKey) -> Option<Percent> {
        self.runs.get(task).map(|run| run.cpu_share)
    }

    /// The current tail latency in milliseconds, including the interference of best-effort runs.
    #[must_use]
    pub fn tail_ms(&self) -> u64 {
        let best_effort = self
            .runs
            .values()
            .filter(|run| run.role == RunRole::BestEffort);
        let shares: u64 = best_effort.map(|run| u64::from(run.cpu_share.0)).sum();
        self.base_tail_ms + self.interference_ms * shares / 100
    }

    /// Whether response times are over a target only because of best-effort work.
    pub(super) fn is_over_target(&self) -> bool {
        let tail = self.tail_ms();
        let targets = self.runs.values().filter_map(SimulatedRun::target_ms);
        let over = targets.filter(|target| tail > *target && self.base_tail_ms <= *target);
        over.count() > 0
    }

    /// Restarts the worker under a new incarnation, without runs or injected failures.
    pub(super) fn restart(&mut self) {
        let mut info = self.info.clone();
        info.key.incarnation.0 += 1;
        info.draining = false;
        *self = Self {
            enforces_capacity: self.enforces_capacity,
            former_capacities: std::mem::take(&mut self.former_capacities),
            base_tail_ms: self.base_tail_ms,
            interference_ms: self.interference_ms,
            ..Self::new(info)
        };
    }

    /// Begins to end a run; it is listed as ended from `at` on.
    pub(super) fn begin_ending(&mut self, task: &TaskKey, outcome: RunEnd, at: BootTime) {
        if let Some(run) = self.runs.get_mut(task)
            && run.ending.is_none()
        {
            run.ending = Some((at, outcome));
        }
    }

    /// Moves the runs whose end is due to the list of ended runs.
    pub(super) fn finish_ended_runs(&mut self, now: BootTime) {
        let due: Vec<(TaskKey, RunEnd)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match run.ending {
                Some((at, outcome)) if at.is_past(now) => Some((task.clone(), outcome)),
                _ => None,
            })
            .collect();
        for (task, outcome) in due {
            let Some(run) = self.runs.remove(&task) else {
                continue;
            };
            self.last_closed.insert(task.clone(), run.number);
            self.ended.push(EndReport {
                number: EndNumber(self.next_end),
                task,
                run: run.number,
                outcome,
                checkpoint: run.checkpoint(),
            });
            self.next_end += 1;
        }
    }

    /// The worker's report of its runs. A run whose end has begun is in neither list.
    pub(super) fn report(&self, now: BootTime) -> WorkerReport {
        let active = self.runs.iter().filter(|(_, run)| run.ending.is_none());
        WorkerReport {
            worker: self.info.key.clone(),
            polled_at: now,
            received_at: now,
            running: active
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
