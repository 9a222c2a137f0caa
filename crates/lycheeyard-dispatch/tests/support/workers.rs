mod calls;
mod data;
mod execution;
mod trace;
mod worker;

use super::{call_faults::CallFaults, link::Link, start_fault::StartFault};
use data::Data;
use lycheeyard_jobs::{RunNumber, TaskKey};
use lycheeyard_protocol::{Epoch, JobId, WorkerId};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::Instant;
use worker::{MaxLease, Worker};

/// One instance's connections to in-memory workers that all instances share. The payload of a job is the run time of
/// its tasks in milliseconds.
#[derive(Clone, Debug)]
pub struct FakeWorkers {
    data: Arc<Mutex<Data>>,
    start: Instant,
    pub link: Link,
}

impl Default for FakeWorkers {
    fn default() -> Self {
        Self {
            data: Arc::default(),
            start: Instant::now(),
            link: Link::default(),
        }
    }
}

impl FakeWorkers {
    /// Creates connections for another instance to the same workers.
    pub fn connect(&self, link: &Link) -> Self {
        Self {
            link: link.clone(),
            ..self.clone()
        }
    }

    /// Returns the tasks that run on any worker.
    pub fn running(&self) -> Vec<TaskKey> {
        let data = self.lock();
        let workers = data.workers.values();
        workers
            .flat_map(|worker| worker.runs.keys().cloned())
            .collect()
    }

    /// Sets the longest lease that the present incarnation of a worker grants.
    pub fn set_max_lease(&self, id: &WorkerId, lease: Duration) {
        let millis = u64::try_from(lease.as_millis()).expect("lease is short");
        let mut data = self.lock();
        let worker = data.workers.entry(id.clone()).or_default();
        worker.max_lease = MaxLease(millis);
    }

    /// Sets what happens to the next start calls of a job, in the order of the calls.
    pub fn set_start_faults(&self, job: &JobId, faults: &[StartFault]) {
        let faults = faults.iter().copied().collect();
        self.lock().start_faults.insert(job.clone(), faults);
    }

    /// Lets a worker answer no report request, and execute each after `delay`; without one it answers again.
    pub fn set_late_reports(&self, id: &WorkerId, delay: Option<Duration>) {
        let mut data = self.lock();
        match delay {
            Some(delay) => data.late_reports.insert(id.clone(), delay),
            None => data.late_reports.remove(id),
        };
    }

    /// Sets whether a worker's reports leave out which incarnation answers.
    pub fn set_anonymous(&self, id: &WorkerId, is_anonymous: bool) {
        let mut data = self.lock();
        if is_anonymous {
            data.anonymous.insert(id.clone());
        } else {
            data.anonymous.remove(id);
        }
    }

    /// Starts a worker again under its id: it has lost all that it knew, and its clock and counts start anew.
    pub fn restart(&self, id: &WorkerId) {
        let restarts = self.lock().workers.get(id).map(|worker| worker.restarts);
        self.restart_as(id, 2 + restarts.unwrap_or_default());
    }

    /// As [`Self::restart`], with the given incarnation.
    pub fn restart_as(&self, id: &WorkerId, incarnation: u64) {
        let clock = self.clock();
        let mut data = self.lock();
        data.count_crashes(id);
        let worker = data.workers.entry(id.clone()).or_default();
        *worker = Worker {
            restarts: incarnation - 1,
            born: clock,
            ..Worker::default()
        };
        let incarnation = worker.incarnation();
        data.trace
            .note(clock, &format!("restart {id}/{incarnation}"));
    }

    /// Sets the faults that affect calls of all instances at random.
    pub fn set_call_faults(&self, faults: Option<CallFaults>) {
        self.lock().call_faults = faults;
    }

    /// Changes the share of calls that are affected at random.
    pub fn set_faulty_share(&self, share: f64) {
        if let Some(faults) = self.lock().call_faults.as_mut() {
            faults.share = share;
        }
    }

    /// Adds a line to the trace.
    pub fn note(&self, text: &str) {
        let clock = self.clock();
        self.lock().trace.note(clock, text);
    }

    /// Returns the lines of the trace that contain one of the words.
    pub fn trace(&self, words: &[&str]) -> Vec<String> {
        self.lock().trace.lines_with(words)
    }

    /// Returns how many workers have started again while they had a run of a task, or its end that nobody had acknowledged.
    pub fn crashes(&self, task: &TaskKey) -> u32 {
        self.lock().crashes.get(task).copied().unwrap_or_default()
    }

    /// Returns until when the lease of a worker lasts on its own clock.
    pub fn lease_until(&self, id: &WorkerId) -> u64 {
        let data = self.lock();
        data.workers.get(id).map_or(0, |worker| worker.lease_until)
    }

    /// Returns the highest epoch that a worker has seen.
    pub fn epoch(&self, id: &WorkerId) -> Epoch {
        let data = self.lock();
        let worker = data.workers.get(id);
        worker.map(|worker| worker.epoch).unwrap_or_default()
    }

    /// Returns all executed starts.
    pub fn starts(&self) -> Vec<(TaskKey, RunNumber, Epoch)> {
        self.lock().starts.clone()
    }

    /// Returns the worker that runs a task.
    pub fn worker_of(&self, task: &TaskKey) -> Option<WorkerId> {
        let data = self.lock();
        let mut workers = data.workers.iter();
        let found = workers.find(|(_, worker)| worker.runs.contains_key(task));
        found.map(|(id, _)| id.clone())
    }

    /// Returns how many start calls were sent in the first term.
    pub fn start_calls_of_first_term(&self) -> usize {
        let data = self.lock();
        data.start_calls
            .values()
            .next()
            .copied()
            .unwrap_or_default()
    }

    /// Returns when the last start call to a worker was sent.
    pub fn last_start_call(&self, worker: &WorkerId) -> Option<Instant> {
        self.lock().last_start_calls.get(worker).copied()
    }

    /// Returns a description of each start of a task that was already running.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    fn clock(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).expect("elapsed time fits u64")
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        let clock = self.clock();
        let mut data = self.data.lock().expect("lock is not poisoned");
        for worker in data.workers.values_mut() {
            worker.advance(clock);
        }
        data
    }
}
