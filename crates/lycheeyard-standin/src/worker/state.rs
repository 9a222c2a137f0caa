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

#[derive(Clone, Debug)]
struct Task {
    report: TaskReport,
    started_at: Option<Timestamp>,
    run_until: Option<Timestamp>,
    run_time: Duration,
}

/// A worker's tasks, without any input or output.
#[derive(Clone, Debug)]
pub struct WorkerState {
    worker: WorkerId,
    accelerators: u16,
    epoch: Epoch,
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
            tasks: BTreeMap::new(),
        }
    }

    /// Sets accelerators aside for a task.
    pub fn prepare(&mut self, req: TaskRequest, now: Timestamp) -> PrepareReply {
        self.advance(now);
        if req.epoch < self.epoch {
            return PrepareReply::StaleEpoch(self.epoch);
        }
        self.epoch = req.epoch;
        if let Some(task) = self.tasks.get(&req.task)
            && holds(task.report.state)
        {
            return PrepareReply::Prepared;
        }
        if let Some(holder) = self.holder_of(&req.accelerators) {
            return PrepareReply::Busy(holder);
        }
        let report = TaskReport {
            task: req.task.clone(),
            organisation: req.organisation,
            job: req.job,
            state: TaskState::Prepared,
            accelerators: req.accelerators,
            checkpoint_ms: req.checkpoint_ms,
            lease_until: req.lease_until,
        };
        let task = Task {
            report,
            started_at: None,
            run_until: None,
            run_time: run_time(&req.payload),
        };
        self.tasks.insert(req.task, task);
        PrepareReply::Prepared
    }

    /// Starts a prepared task; the answer tells the worker's whole state.
    pub fn start(&mut self, req: &StartRequest, fail: bool, now: Timestamp) -> WorkerReport {
        self.advance(now);
        if req.epoch >= self.epoch
            && let Some(task) = self.tasks.get_mut(&req.task)
            && task.report.state == TaskState::Prepared
        {
            let kept = Duration::from_millis(task.report.checkpoint_ms);
            task.report.state = if fail {
                TaskState::Failed
            } else {
                TaskState::Running
            };
            task.report.lease_until = req.lease_until;
            task.started_at = Some(now);
            task.run_until = Some(now.after(task.run_time.saturating_sub(kept)));
        }
        self.report(now)
    }

    /// Ends tasks, with a checkpoint first where it is asked for.
    pub fn stop(&mut self, req: &StopRequest, now: Timestamp) -> WorkerReport {
        self.advance(now);
        for id in &req.tasks {
            let Some(task) = self.tasks.get_mut(id) else {
                continue;
            };
            if !holds(task.report.state) {
                continue;
            }
            if req.checkpoint
                && let Some(started_at) = task.started_at
            {
                let run = u64::try_from(now.since(started_at).as_millis()).unwrap_or(u64::MAX);
                task.report.checkpoint_ms += run;
            }
            task.report.state = TaskState::Stopped;
        }
        self.report(now)
    }

    /// Moves lease deadlines.
    pub fn renew(&mut self, req: &RenewRequest, now: Timestamp) -> WorkerReport {
        self.advance(now);
        for id in &req.tasks {
            if let Some(task) = self.tasks.get_mut(id)
                && holds(task.report.state)
            {
                task.report.lease_until = task.report.lease_until.max(req.lease_until);
            }
        }
        self.report(now)
    }

    /// Reports the worker's tasks.
    pub fn report(&mut self, now: Timestamp) -> WorkerReport {
        self.advance(now);
        WorkerReport {
            worker: self.worker.clone(),
            epoch: self.epoch,
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
            .find(|task| holds(task.report.state) && !task.report.accelerators.is_disjoint(wanted))
            .map(|task| task.report.task.clone())
    }

    fn advance(&mut self, now: Timestamp) {
        for task in self.tasks.values_mut() {
            if !holds(task.report.state) {
                continue;
            }
            if task.run_until.is_some_and(|at| at.is_past(now)) {
                task.report.state = TaskState::Succeeded;
            } else if task.report.lease_until.is_past(now) {
                task.report.state = TaskState::Stopped;
            }
        }
    }
}

fn holds(state: TaskState) -> bool {
    matches!(state, TaskState::Prepared | TaskState::Running)
}

/// A payload of the form `run-ms=N` sets the real run time; otherwise a task runs until it is stopped.
fn run_time(payload: &str) -> Duration {
    const ENDLESS: Duration = Duration::from_secs(365 * 24 * 3600);
    let millis = payload
        .strip_prefix("run-ms=")
        .and_then(|ms| ms.parse().ok());
    millis.map_or(ENDLESS, Duration::from_millis)
}
