use super::{StartFault, Worker, trace::Trace};
use crate::support::CallFaults;
use lycheeyard_dispatch::WorkerCallError;
use lycheeyard_jobs::{EndNumber, RunNumber, TaskKey};
use lycheeyard_protocol::{Epoch, JobId, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// The workers that all instances share, and what was done with them.
#[derive(Debug, Default)]
pub struct Data {
    pub workers: BTreeMap<WorkerId, Worker>,
    /// How many start calls were sent in each term, lost ones included.
    pub start_calls: BTreeMap<Epoch, usize>,
    /// When the last start call to each worker was sent, also if it was lost.
    pub last_start_calls: BTreeMap<WorkerId, Instant>,
    /// What happens to the next start calls of a job, in the order of the calls.
    pub start_faults: BTreeMap<JobId, VecDeque<StartFault>>,
    /// Workers that answer no report request, and execute each after this time.
    pub late_reports: BTreeMap<WorkerId, Duration>,
    /// Workers whose reports do not say which incarnation answers.
    pub anonymous: BTreeSet<WorkerId>,
    /// Each executed start.
    pub starts: Vec<(TaskKey, RunNumber, Epoch)>,
    /// When each task was started last.
    pub started_at: BTreeMap<TaskKey, u64>,
    /// How many workers have started again while they had a task.
    pub crashes: BTreeMap<TaskKey, u32>,
    /// The tasks whose successful end was acknowledged.
    pub done: BTreeSet<TaskKey>,
    /// The faults that affect calls at random.
    pub call_faults: Option<CallFaults>,
    pub trace: Trace,
    pub violations: Vec<String>,
}

impl Data {
    /// Returns a worker for a call in a term, and fences terms that are older than the newest it has seen.
    pub fn fenced_worker(
        &mut self,
        epoch: Epoch,
        id: &WorkerId,
    ) -> Result<&mut Worker, WorkerCallError> {
        let worker = self.workers.entry(id.clone()).or_default();
        if epoch < worker.epoch {
            return Err(WorkerCallError::Fenced);
        }
        worker.epoch = epoch;
        Ok(worker)
    }

    /// Lets a worker discard ends, and notes starts of tasks after such an end.
    pub fn acknowledge(&mut self, id: &WorkerId, through: EndNumber) {
        let worker = self.workers.entry(id.clone()).or_default();
        for (task, ended_at) in worker.acknowledge(through) {
            if self.started_at.get(&task).is_some_and(|at| *at > ended_at) {
                self.violations
                    .push(format!("{task} was started after it was done"));
            }
            self.done.insert(task);
        }
    }

    /// Counts the tasks that a worker has when it starts again.
    pub fn count_crashes(&mut self, id: &WorkerId) {
        let worker = self.workers.entry(id.clone()).or_default();
        let ended = worker.ended.iter().map(|end| &end.task);
        let tasks: BTreeSet<TaskKey> = worker.runs.keys().chain(ended).cloned().collect();
        for task in tasks {
            *self.crashes.entry(task).or_default() += 1;
        }
    }

    /// Notes a start and what it violates.
    pub fn note_start(&mut self, task: &TaskKey, run: RunNumber, epoch: Epoch, clock: u64) {
        if self.done.contains(task) {
            self.violations
                .push(format!("{task} is started after it was done"));
        }
        self.started_at.insert(task.clone(), clock);
        self.starts.push((task.clone(), run, epoch));
    }
}
