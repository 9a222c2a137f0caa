use crate::{BootTime, EndNumber, Resources, RunNumber, TaskKey, WorkerInfo, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A worker that was silent for this long gets neither new runs nor longer leases.
const SILENCE: Duration = Duration::from_secs(3);

/// One life of a worker and what the scheduler knows of it.
#[derive(Clone, Debug)]
pub(crate) struct WorkerEntry {
    pub key: WorkerKey,
    /// Its description, unless only a record names the worker.
    pub info: Option<WorkerInfo>,
    /// Whether the list of workers has it now.
    pub is_listed: bool,
    /// Whether it has answered this term.
    pub has_reported: bool,
    /// When it answered last, or became known.
    pub heard_at: BootTime,
    /// When no lease on it can be in force any more.
    pub lease_until: BootTime,
    /// The tasks whose runs hold its resources.
    pub tasks: BTreeSet<TaskKey>,
    /// The resources that those runs hold.
    pub used: Resources,
    /// Runs that no record names, with when their stop was ordered.
    pub unknown_runs: BTreeMap<(TaskKey, RunNumber), BootTime>,
    /// The ends up to this number are in the jobs' progress.
    pub noted: EndNumber,
    /// The ends up to this number are in the store.
    pub durable: EndNumber,
    /// How many times as long as elsewhere work takes here.
    pub slowness: f64,
    /// Failures since the last success.
    pub failures: u32,
    /// No new runs before this.
    pub quarantined_until: BootTime,
}

impl WorkerEntry {
    pub fn new(key: WorkerKey, now: BootTime, lease_until: BootTime) -> Self {
        Self {
            key,
            info: None,
            is_listed: false,
            has_reported: false,
            heard_at: now,
            lease_until,
            tasks: BTreeSet::new(),
            used: Resources::default(),
            unknown_runs: BTreeMap::new(),
            noted: EndNumber(0),
            durable: EndNumber(0),
            slowness: 1.0,
            failures: 0,
            quarantined_until: BootTime(0),
        }
    }

    pub fn id(&self) -> &WorkerId {
        &self.key.id
    }

    /// Whether it has not answered for a while.
    pub fn is_silent(&self, now: BootTime) -> bool {
        self.heard_at.after(SILENCE).is_past(now)
    }

    /// Whether new runs may be placed on it.
    pub fn takes_runs(&self, now: BootTime) -> bool {
        self.is_listed
            && self.has_reported
            && !self.is_silent(now)
            && self.quarantined_until.is_past(now)
            && self.info.as_ref().is_some_and(|info| !info.draining)
    }
}
