use lycheeyard_protocol::{Timestamp, WorkerId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A worker is quarantined after this many distinct jobs failed on it with no success in between.
const FAILED_JOBS_FOR_QUARANTINE: usize = 3;
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);

/// The most times that `FIRST_QUARANTINE` is doubled.
const MAX_DOUBLINGS: u32 = 5;

#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct FailureHistory {
    jobs: BTreeSet<String>,
    quarantines: u32,
    until: Option<Timestamp>,
}

/// The change that an observation made to a worker's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// No change that affects placement.
    None,
    /// The worker is quarantined.
    Quarantined,
    /// The worker succeeded on probation after a quarantine.
    Returned,
}

/// The recent failures and quarantines of each worker.
///
/// Failures are counted by distinct jobs, so that one faulty job cannot quarantine a worker. After a quarantine the
/// worker is on probation: one more failed job quarantines it again for twice as long, and one success clears it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerHealth {
    workers: BTreeMap<WorkerId, FailureHistory>,
}

impl WorkerHealth {
    /// Records that a job's task failed on its own; the same failure may be recorded repeatedly.
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
        let is_first = failures.jobs.insert(job.to_owned());
        let on_probation = failures.quarantines > 0;
        let must_quarantine =
            failures.jobs.len() >= FAILED_JOBS_FOR_QUARANTINE || (on_probation && is_first);
        if !must_quarantine {
            return HealthChange::None;
        }
        let doublings = failures.quarantines.min(MAX_DOUBLINGS);
        failures.until = Some(now.after(FIRST_QUARANTINE * 2_u32.pow(doublings)));
        failures.quarantines += 1;
        failures.jobs.clear();
        HealthChange::Quarantined
    }

    /// Records that a task succeeded on a worker, which clears the worker's failures.
    pub fn observe_success(&mut self, worker: &WorkerId) -> HealthChange {
        match self.workers.remove(worker) {
            Some(failures) if failures.quarantines > 0 => HealthChange::Returned,
            _ => HealthChange::None,
        }
    }

    /// Removes a job's failures from all workers, because the job itself is at fault.
    pub fn clear_job_failures(&mut self, job: &str) {
        for failures in self.workers.values_mut() {
            failures.jobs.remove(job);
        }
        let empty = FailureHistory::default();
        self.workers.retain(|_, failures| *failures != empty);
    }

    /// The workers that are quarantined at `now` and must not get new tasks.
    #[must_use]
    pub fn quarantined(&self, now: Timestamp) -> BTreeSet<WorkerId> {
        let is_quarantined =
            |failures: &FailureHistory| failures.until.is_some_and(|until| !until.is_past(now));
        let workers = self.workers.iter();
        let quarantined = workers.filter(|(_, failures)| is_quarantined(failures));
        quarantined.map(|(worker, _)| worker.clone()).collect()
    }
}
