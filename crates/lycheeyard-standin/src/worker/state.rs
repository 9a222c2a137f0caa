use super::{TaskPayload, task::Task};
use lycheeyard_protocol::{
    AcceleratorIndex, Epoch, TaskId, Timestamp, WorkerId,
    platform::{
        PrepareReply, RenewRequest, StartRequest, StopRequest, TaskReport, TaskRequest, TaskState,
        WorkerReport,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long an ended task stays in the reports.
const KEEP_ENDED: Duration = Duration::from_secs(120);

/// A worker's tasks, without any input or output.
#[derive(Clone, Debug)]
pub struct WorkerState {
    worker: WorkerId,
    accelerators: u16,
    epoch: Epoch,
    version: u64,
    tasks: BTreeMap<TaskId, Task>,
}

impl WorkerState {
    /// Makes a worker with the given number of accelerators.
    #[must_use]
    pub fn new(worker: WorkerId, accelerators: u16) -> Self {
        Self {
            worker,
            accelerators,
            epoch: Epoch(0),
            version: 1,
            tasks: BTreeMap::new(),
        }
    }

    /// Ends every task and forgets it, as a restart of the machine does.
    pub fn restart(&mut self) {
        self.tasks.clear();
        self.version += 1;
    }

    /// Sets accelerators aside for a task; a task that has ended is not taken again.
    pub fn prepare(&mut self, req: TaskRequest, now: Timestamp) -> PrepareReply {
        self.advance(now);
        if req.epoch < self.epoch {
            return PrepareReply::StaleEpoch(self.epoch);
        }
        self.epoch = req.epoch;
        if let Some(task) = self.tasks.get(&req.task) {
            return if task.holds() {
                PrepareReply::Prepared
            } else {
                PrepareReply::Busy(req.task)
            };
        }
        if let Some(holder) = self.holder_of(&req.accelerators) {
            return PrepareReply::Busy(holder);
        }
        self.version += 1;
        let payload = TaskPayload::parse(&req.payload);
        let report = TaskReport {
            task: req.task.clone(),
            organisation: req.organisation,
            job: req.job,
            state: TaskState::Prepared,
            accelerators: req.accelerators,
            checkpoint_ms: req.checkpoint_ms,
            lease_until: req.lease_until,
        };
        self.tasks.insert(req.task, Task::new(report, payload));
        PrepareReply::Prepared
    }

    /// Starts a prepared task; the answer tells the worker's whole state.
    pub fn start(&mut self, req: &StartRequest, fail: bool, now: Timestamp) -> WorkerReport {
        self.advance(now);
        if req.epoch >= self.epoch
            && let Some(task) = self.tasks.get_mut(&req.task)
            && task.report.state == TaskState::Prepared
        {
            task.start(req.lease_until, fail, now);
            self.version += 1;
        }
        self.report(now)
    }

    /// Ends tasks, with a checkpoint first where it is asked for.
    pub fn stop(&mut self, req: &StopRequest, now: Timestamp) -> WorkerReport {
        self.advance(now);
        for id in &req.tasks {
            if let Some(task) = self.tasks.get_mut(id)
                && task.holds()
            {
                task.stop(req.checkpoint, now);
                self.version += 1;
            }
        }
        self.report(now)
    }

    /// Moves lease deadlines.
    pub fn renew(&mut self, req: &RenewRequest, now: Timestamp) -> WorkerReport {
        self.advance(now);
        self.epoch = self.epoch.max(req.epoch);
        for id in &req.tasks {
            if let Some(task) = self.tasks.get_mut(id)
                && task.holds()
            {
                task.report.lease_until = task.report.lease_until.max(req.lease_until);
            }
        }
        let mut report = self.report(now);
        if req.known_version == Some(report.version) {
            report.unchanged = true;
            report.tasks.clear();
        }
        report
    }

    /// Reports the worker's tasks.
    pub fn report(&mut self, now: Timestamp) -> WorkerReport {
        self.advance(now);
        WorkerReport {
            worker: self.worker.clone(),
            epoch: self.epoch,
            version: self.version,
            unchanged: false,
            tasks: self
                .tasks
                .values()
                .map(|task| task.report.clone())
                .collect(),
        }
    }

    fn holder_of(&self, wanted: &BTreeSet<AcceleratorIndex>) -> Option<TaskId> {
        let beyond = wanted.iter().any(|index| index.0 >= self.accelerators);
        if beyond {
            return "no-such-accelerator".parse().ok();
        }
        self.tasks
            .values()
            .find(|task| task.holds() && !task.report.accelerators.is_disjoint(wanted))
            .map(|task| task.report.task.clone())
    }

    fn advance(&mut self, now: Timestamp) {
        let mut changed = false;
        for task in self.tasks.values_mut() {
            changed |= task.advance(now);
        }
        let before = self.tasks.len();
        let kept = |task: &Task| {
            !task
                .ended_at
                .is_some_and(|at| at.after(KEEP_ENDED).is_past(now))
        };
        self.tasks.retain(|_, task| kept(task));
        changed |= self.tasks.len() != before;
        self.version += u64::from(changed);
    }
}
