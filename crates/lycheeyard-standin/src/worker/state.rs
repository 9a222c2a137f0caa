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
const ENDED_TASK_RETENTION: Duration = Duration::from_secs(120);

/// A worker's tasks, without input or output.
#[derive(Clone, Debug)]
pub struct WorkerState {
    worker: WorkerId,
    accelerators: u16,
    epoch: Epoch,
    version: u64,
    tasks: BTreeMap<TaskId, Task>,
}

impl WorkerState {
    /// Creates an idle worker with the given number of accelerators.
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

    /// Drops all tasks, as a restart of the machine does.
    pub fn restart(&mut self) {
        self.tasks.clear();
        self.version += 1;
    }

    /// Reserves accelerators for a task. This is idempotent for an active task; a task that has ended is rejected.
    pub fn prepare(&mut self, req: TaskRequest, now: Timestamp) -> PrepareReply {
        self.advance(now);
        if req.epoch < self.epoch {
            return PrepareReply::StaleEpoch(self.epoch);
        }
        self.epoch = req.epoch;
        if let Some(task) = self.tasks.get(&req.task) {
            return if task.holds_accelerators() {
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

    /// Starts a prepared task and returns the worker's full state. `fail` makes the task fail at once.
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

    /// Stops tasks, after a checkpoint if the request asks for one.
    pub fn stop(&mut self, req: &StopRequest, now: Timestamp) -> WorkerReport {
        self.advance(now);
        for id in &req.tasks {
            if let Some(task) = self.tasks.get_mut(id)
                && task.holds_accelerators()
            {
                task.stop(req.checkpoint, now);
                self.version += 1;
            }
        }
        self.report(now)
    }

    /// Extends the leases of active tasks. The returned report omits the tasks if its version equals `known_version`.
    pub fn renew(&mut self, req: &RenewRequest, now: Timestamp) -> WorkerReport {
        self.advance(now);
        self.epoch = self.epoch.max(req.epoch);
        for id in &req.tasks {
            if let Some(task) = self.tasks.get_mut(id)
                && task.holds_accelerators()
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

    /// Returns a report of all tasks on the worker.
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

    fn holder_of(&self, requested: &BTreeSet<AcceleratorIndex>) -> Option<TaskId> {
        let is_out_of_range = requested.iter().any(|index| index.0 >= self.accelerators);
        if is_out_of_range {
            return "no-such-accelerator".parse().ok();
        }
        self.tasks
            .values()
            .find(|task| {
                task.holds_accelerators() && !task.report.accelerators.is_disjoint(requested)
            })
            .map(|task| task.report.task.clone())
    }

    fn advance(&mut self, now: Timestamp) {
        let mut changed = false;
        for task in self.tasks.values_mut() {
            changed |= task.advance(now);
        }
        let before = self.tasks.len();
        let is_retained = |task: &Task| {
            !task
                .ended_at
                .is_some_and(|at| at.after(ENDED_TASK_RETENTION).is_past(now))
        };
        self.tasks.retain(|_, task| is_retained(task));
        changed |= self.tasks.len() != before;
        self.version += u64::from(changed);
    }
}
