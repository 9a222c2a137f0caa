use super::{FIRST_SHARE, FULL_SHARE, Run, RunKind};
use crate::{BootTime, EndNumber, Resources, RunNumber, TaskKey, WorkerInfo, WorkerKey};
use lycheeyard_protocol::{Percent, WorkerId};
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
    /// How many of them answer requests within a limit,
    pub serving_runs: usize,
    /// and how many fill what others leave.
    pub filling: usize,
    /// The share of its speed at which the filling runs are to work.
    pub best_effort_share: Percent,
    /// Whether its machine is to be away for maintenance.
    pub is_closing_for_maintenance: bool,
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
            serving_runs: 0,
            filling: 0,
            best_effort_share: FULL_SHARE,
            is_closing_for_maintenance: false,
            unknown_runs: BTreeMap::new(),
            noted: EndNumber(0),
            durable: EndNumber(0),
            slowness: 1.0,
            failures: 0,
            quarantined_until: BootTime(0),
        }
    }

    /// Counts a run that it has.
    pub fn add(&mut self, task: &TaskKey, run: &Run) {
        if !self.tasks.insert(task.clone()) {
            return;
        }
        self.used = self.used.saturating_add(&run.demand);
        let was_shared = self.is_shared();
        match run.kind {
            RunKind::Serving(_) => self.serving_runs += 1,
            RunKind::Filling => self.filling += 1,
            RunKind::Batch | RunKind::Lasting => {}
        }
        if self.is_shared() && !was_shared {
            self.best_effort_share = FIRST_SHARE;
        }
    }

    /// Counts a run no more.
    pub fn remove(&mut self, task: &TaskKey, run: &Run) {
        if !self.tasks.remove(task) {
            return;
        }
        self.used = self.used.saturating_sub(&run.demand);
        match run.kind {
            RunKind::Serving(_) => self.serving_runs -= 1,
            RunKind::Filling => self.filling -= 1,
            RunKind::Batch | RunKind::Lasting => {}
        }
    }

    /// Whether filling runs work beside others that answer requests.
    pub fn is_shared(&self) -> bool {
        self.serving_runs > 0 && self.filling > 0
    }

    pub fn id(&self) -> &WorkerId {
        &self.key.id
    }

    /// Whether it has not answered for a while.
    pub fn is_silent(&self, now: BootTime) -> bool {
        self.heard_at.after(SILENCE).is_past(now)
    }

    /// Whether it goes away soon, or is not described.
    pub fn is_leaving(&self) -> bool {
        self.is_closing_for_maintenance || self.info.as_ref().is_none_or(|info| info.draining)
    }

    /// Whether new runs may be placed on it.
    pub fn accepts_runs(&self, now: BootTime) -> bool {
        self.is_listed
            && self.has_reported
            && !self.is_silent(now)
            && self.quarantined_until.is_past(now)
            && !self.is_leaving()
    }
}
