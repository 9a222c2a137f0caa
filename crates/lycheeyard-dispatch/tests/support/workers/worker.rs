use lycheeyard_jobs::{EndNumber, EndReport, RunEnd, RunNumber, TaskKey};
use lycheeyard_protocol::{Epoch, Percent};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// The longest lease that a worker grants, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct MaxLease(pub u64);

impl Default for MaxLease {
    fn default() -> Self {
        Self(6000)
    }
}

/// One incarnation of a worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// How many times it has started again under its id, which is one less than its incarnation.
    pub restarts: u64,
    /// When it started; its own clock counts from then.
    pub born: u64,
    pub max_lease: MaxLease,
    pub epoch: Epoch,
    pub lease_until: u64,
    pub runs: BTreeMap<TaskKey, (RunNumber, Instant)>,
    /// For each task, its newest run that has ended or was stopped here; this run and older ones do not start again.
    pub closed: BTreeMap<TaskKey, RunNumber>,
    pub ended: Vec<EndReport>,
    pub next_end: u64,
    /// When each end was listed first, on the common clock.
    pub ended_at: BTreeMap<EndNumber, u64>,
    /// The last end that was listed before the lease expired or while it was expired. The tasks of ends up to this one may be
    /// run again.
    pub lapsed_through: u64,
    /// The ordered CPU shares.
    pub shares: BTreeMap<TaskKey, Percent>,
}

impl Worker {
    /// The number of its incarnation.
    pub fn incarnation(&self) -> u64 {
        1 + self.restarts
    }

    pub fn end(&mut self, task: &TaskKey, outcome: RunEnd, clock: u64) {
        let Some((run, _)) = self.runs.remove(task) else {
            return;
        };
        self.closed.insert(task.clone(), run);
        self.next_end += 1;
        self.ended_at.insert(EndNumber(self.next_end), clock);
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
        let until = until.min(self.clock(clock) + self.max_lease.0);
        self.lease_until = self.lease_until.max(until);
    }

    /// Ends the runs that are due at a time on the common clock.
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
            self.end(&task, outcome, clock);
        }
        if is_lapsed {
            self.lapsed_through = self.next_end;
        }
    }

    /// Stops a run if the worker has it, and starts neither it nor an older one from now on.
    pub fn stop(&mut self, task: &TaskKey, run: RunNumber, clock: u64) {
        if self
            .runs
            .get(task)
            .is_some_and(|(present, _)| *present == run)
        {
            self.end(task, RunEnd::Stopped, clock);
        }
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
    }

    /// Forgets the ends up to `through`, and returns the tasks among them that are done and may not run again, with the time
    /// of their end.
    pub fn acknowledge(&mut self, through: EndNumber) -> Vec<(TaskKey, u64)> {
        let forgotten = self.ended.extract_if(.., |end| end.number <= through);
        let done = forgotten
            .filter(|end| end.outcome == RunEnd::Done && end.number.0 > self.lapsed_through);
        done.map(|end| (end.task, self.ended_at[&end.number]))
            .collect()
    }
}
