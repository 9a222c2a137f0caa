use super::{StartFault, Worker};
use lycheeyard_dispatch::WorkerCallError;
use lycheeyard_jobs::{RunNumber, TaskKey};
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
}
