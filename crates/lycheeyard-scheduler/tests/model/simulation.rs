//! The store, the workers and the calls between them, in virtual time.

mod calls;
mod checks;
mod decisions;
mod records;

use crate::{call::Call, machine::Defect, scheduler::Scheduler};
use lycheeyard_protocol::{Epoch, JobRecord, Timestamp, WorkerId};
use lycheeyard_standin::WorkerState;
use records::spec;
use std::collections::BTreeSet;

pub const WORKERS: usize = 3;
pub const JOBS: usize = 2;
pub const SILENCE_MS: u64 = 2000;
const LEASE_MS: u64 = 3000;
const TASK_LEASE_MS: u64 = 4000;
const PREPARE_LEASE_MS: u64 = 1500;
const RECORDS_FRESHNESS_MS: u64 = 1000;
const CLOCK_ERROR_MS: u64 = 200;
const START_MS: u64 = 1_000_000;

/// The state of the model: the schedulers, the store, the workers and the calls in transit.
#[derive(Clone, Debug)]
pub struct Simulation {
    pub schedulers: Vec<Scheduler>,
    defect: Defect,
    now: u64,
    store_up: bool,
    records: Vec<(u64, JobRecord)>,
    version: u64,
    lease: (Epoch, u64),
    workers: Vec<WorkerState>,
    calls: Vec<Call>,
    partitioned_workers: BTreeSet<(usize, usize)>,
    partitioned_from_store: BTreeSet<usize>,
}

pub fn worker_id(index: usize) -> WorkerId {
    format!("w{index}").parse().expect("identifier is valid")
}

pub fn worker_index(worker: &WorkerId) -> usize {
    worker.as_str()[1..]
        .parse()
        .expect("worker id ends with its index")
}

impl Simulation {
    pub fn new(defect: Defect) -> Self {
        let record = |job| (1, JobRecord::submitted(spec(job), Timestamp(0)));
        let skew = |number| number * CLOCK_ERROR_MS;
        Self {
            schedulers: (0..2)
                .map(|number| Scheduler::new(WORKERS, JOBS, skew(number)))
                .collect(),
            defect,
            now: START_MS,
            store_up: true,
            records: (0..JOBS).map(record).collect(),
            version: 1,
            lease: (Epoch(0), 0),
            workers: (0..WORKERS)
                .map(|index| WorkerState::new(worker_id(index), 1))
                .collect(),
            calls: Vec::new(),
            partitioned_workers: BTreeSet::new(),
            partitioned_from_store: BTreeSet::new(),
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
    }

    pub fn set_store(&mut self, up: bool) {
        self.store_up = up;
    }

    /// Interrupts or restores the connection from a scheduler to a worker.
    pub fn partition_worker(&mut self, from: usize, worker: usize, is_partitioned: bool) {
        if is_partitioned {
            self.partitioned_workers.insert((from, worker));
        } else {
            self.partitioned_workers.remove(&(from, worker));
        }
    }

    /// Interrupts or restores the connection from a scheduler to the store.
    pub fn partition_store(&mut self, from: usize, is_partitioned: bool) {
        if is_partitioned {
            self.partitioned_from_store.insert(from);
        } else {
            self.partitioned_from_store.remove(&from);
        }
    }

    fn reaches_store(&self, from: usize) -> bool {
        self.store_up && !self.partitioned_from_store.contains(&from)
    }

    /// Runs every step that a scheduler can take now, with no call lost.
    pub fn round(&mut self, from: usize, first: usize) {
        self.acquire(from);
        self.read(from);
        (0..WORKERS).for_each(|worker| self.poll(from, worker));
        (0..JOBS).for_each(|job| self.act(from, job, first));
        let mut next = 0;
        while next < self.calls.len() {
            if self.calls[next].from == from {
                self.deliver(next, true);
            } else {
                next += 1;
            }
        }
    }

    pub fn restart_worker(&mut self, worker: usize) {
        self.workers[worker].restart();
    }
}
