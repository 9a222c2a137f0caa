use lycheeyard_jobs::{EndNumber, EndReport, RunEnd, RunNumber, TaskKey};
use lycheeyard_protocol::{Epoch, Percent};
use std::collections::BTreeMap;
use tokio::time::Instant;

const MAX_LEASE_MS: u64 = 6000;

/// One incarnation of a worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// How many times it has started again under its id, which is one less than its incarnation.
    pub restarts: u64,
    /// When it started; its own clock counts from then.
    pub born: u64,
    pub epoch: Epoch,
    pub lease_until: u64,
    pub runs: BTreeMap<TaskKey, (RunNumber, Instant)>,
    /// For each task, its newest run that has ended or was stopped here; this run and older ones do not start again.
    pub closed: BTreeMap<TaskKey, RunNumber>,
    pub ended: Vec<EndReport>,
    pub next_end: u64,
    /// The ordered CPU shares.
    pub shares: BTreeMap<TaskKey, Percent>,
}

impl Worker {
    pub fn end(&mut self, task: &TaskKey, outcome: RunEnd) {
        let Some((run, _)) = self.runs.remove(task) else {
            return;
        };
        self.closed.insert(task.clone(), run);
        self.next_end += 1;
        self.ended.push(EndReport {
            number: EndNumber(self.next_end),
            task: task.clone(),
            run,
            outcome,
            checkpoint: None,
        });
    }

    /// Its own clock at a time on the common clock.
    pub fn clock(&self, clock: u64) -> u64 {
        clock - self.born
    }

    /// Extends the lease until a time on its own clock, for the longest lease at most.
    pub fn extend_lease(&mut self, until: u64, clock: u64) {
        let until = until.min(self.clock(clock) + MAX_LEASE_MS);
        self.lease_until = self.lease_until.max(until);
    }

    pub fn advance(&mut self, clock: u64) {
        let now = Instant::now();
        let is_lapsed = self.lease_until <= self.clock(clock);
        let ended = self
            .runs
            .iter()
            .filter(|(_, (_, end))| is_lapsed || *end <= now);
        let ended: Vec<TaskKey> = ended.map(|(task, _)| task.clone()).collect();
        for task in ended {
            let outcome = if is_lapsed {
                RunEnd::Lapsed
            } else {
                RunEnd::Done
            };
            self.end(&task, outcome);
        }
    }
}
