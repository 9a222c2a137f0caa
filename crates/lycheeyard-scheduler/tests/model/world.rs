//! The store, the workers and the calls between them, in virtual time.

mod calls;
mod checks;
mod decisions;
mod records;

use crate::{call::Call, machine::Broken, scheduler::Scheduler};
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
const FRESH_MS: u64 = 1000;
const CLOCK_ERROR_MS: u64 = 200;
const START_MS: u64 = 1_000_000;
/// Everything there is.
#[derive(Clone, Debug)]
pub struct World {
    pub schedulers: Vec<Scheduler>,
    broken: Broken,
    now: u64,
    store_up: bool,
    records: Vec<(u64, JobRecord)>,
    version: u64,
    lease: (Epoch, u64),
    workers: Vec<WorkerState>,
    calls: Vec<Call>,
    cut: BTreeSet<(usize, usize)>,
    cut_off: BTreeSet<usize>,
}

pub fn worker_id(index: usize) -> WorkerId {
    format!("w{index}").parse().expect("a name")
}

pub fn index(worker: &WorkerId) -> usize {
    worker.as_str()[1..].parse().expect("a number")
}

impl World {
    pub fn new(broken: Broken) -> Self {
        let record = |job| (1, JobRecord::submitted(spec(job), Timestamp(0)));
        let skew = |number| number * CLOCK_ERROR_MS;
        Self {
            schedulers: (0..2)
                .map(|number| Scheduler::new(WORKERS, JOBS, skew(number)))
                .collect(),
            broken,
            now: START_MS,
            store_up: true,
            records: (0..JOBS).map(record).collect(),
            version: 1,
            lease: (Epoch(0), 0),
            workers: (0..WORKERS)
                .map(|index| WorkerState::new(worker_id(index), 1))
                .collect(),
            calls: Vec::new(),
            cut: BTreeSet::new(),
            cut_off: BTreeSet::new(),
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
    }

    pub fn set_store(&mut self, up: bool) {
        self.store_up = up;
    }

    /// Cuts or mends the way from a scheduler to a worker.
    pub fn cut_worker(&mut self, from: usize, worker: usize, cut: bool) {
        if cut {
            self.cut.insert((from, worker));
        } else {
            self.cut.remove(&(from, worker));
        }
    }

    /// Cuts or mends the way from a scheduler to the store.
    pub fn cut_store(&mut self, from: usize, cut: bool) {
        if cut {
            self.cut_off.insert(from);
        } else {
            self.cut_off.remove(&from);
        }
    }

    fn reaches_store(&self, from: usize) -> bool {
        self.store_up && !self.cut_off.contains(&from)
    }

    /// Lets a scheduler do everything that it can at once, with no call lost.
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
