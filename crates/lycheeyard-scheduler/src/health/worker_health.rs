use lycheeyard_protocol::{Timestamp, WorkerId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A worker on which this many different jobs failed, with no success between, is quarantined.
const MAX_FAILED_JOBS: usize = 3;
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);

/// Doublings of the first quarantine.
const MAX_DOUBLINGS: u32 = 5;

#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Failures {
    jobs: BTreeSet<String>,
    quarantines: u32,
    until: Option<Timestamp>,
}

/// What an observation changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// Nothing that matters to placement.
    None,
    /// The worker is quarantined.
    Quarantined,
    /// The worker proved itself after a quarantine.
    Returned,
}

/// Which workers fail what they start.
///
/// Failures count by distinct jobs, so that one faulty job cannot take a worker out. After a quarantine the worker
/// is on probation: one more failed job puts it back for twice as long, and one that runs clears it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerHealth {
    workers: BTreeMap<WorkerId, Failures>,
}

impl WorkerHealth {
    /// Notes that a job's task failed by itself; the same failure may be noted again.
    pub fn observe_failure(
        &mut self,
        worker: &WorkerId,
        job: &str,
        now: Timestamp,
    ) -> HealthChange {
        let failures = self.workers.entry(worker.clone()).or_default();
        if failures.until.is_some_and(|until| !until.is_past(now)) {
            return HealthChange::None;
        }
        let first = failures.jobs.insert(job.to_owned());
        let on_probation = failures.quarantines > 0;
        let enough = failures.jobs.len() >= MAX_FAILED_JOBS || (on_probation && first);
        if !enough {
            return HealthChange::None;
        }
        let doublings = failures.quarantines.min(MAX_DOUBLINGS);
        failures.until = Some(now.after(FIRST_QUARANTINE * 2_u32.pow(doublings)));
        failures.quarantines += 1;
        failures.jobs.clear();
        HealthChange::Quarantined
    }

    /// Notes that a worker ran a task as it should.
    pub fn observe_success(&mut self, worker: &WorkerId) -> HealthChange {
        match self.workers.remove(worker) {
            Some(failures) if failures.quarantines > 0 => HealthChange::Returned,
            _ => HealthChange::None,
        }
    }

    /// Takes a job's failures back, since the job is at fault.
    pub fn forgive(&mut self, job: &str) {
        for failures in self.workers.values_mut() {
            failures.jobs.remove(job);
        }
        let blank = Failures::default();
        self.workers.retain(|_, failures| *failures != blank);
    }

    /// The workers that must not get new tasks.
    #[must_use]
    pub fn quarantined(&self, now: Timestamp) -> BTreeSet<WorkerId> {
        let out = |failures: &Failures| failures.until.is_some_and(|until| !until.is_past(now));
        let out = self.workers.iter().filter(|(_, failures)| out(failures));
        out.map(|(worker, _)| worker.clone()).collect()
    }
}
