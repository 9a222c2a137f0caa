use crate::{
    BootTime, Resources, Step, WorkerInfo, WorkerKey,
    scheduler::{WorkerEntry, WorkerSpeed},
};
use lycheeyard_protocol::{Percent, RackId, ServiceId, WorkerId};
use std::collections::BTreeSet;

/// A worker that accepts runs or is in quarantine, with the resources that the current round has not allocated.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub key: WorkerKey,
    pub rack: RackId,
    pub service: ServiceId,
    pub labels: BTreeSet<String>,
    pub capacity: Resources,
    /// Whether it has started recently and is slow for some time.
    pub is_cold: bool,
    /// Whether it is in quarantine, so that only steps which are kept from other room start here.
    pub is_quarantined: bool,
    /// How fast tasks run here.
    pub speed: WorkerSpeed,
    /// Allocated to runs and reservations. A reservation and the runs that are stopped for it may count the same
    /// resources twice.
    pub allocated: Resources,
    /// Used by runs when the round began.
    pub used: Resources,
    /// How far best-effort tasks are throttled here to keep the tail latency of serving runs below its target.
    pub best_effort_throttle: BestEffortThrottle,
    /// Whether long-running tasks are to use it; the other hosts are left to guaranteed steps and to what can be stopped for them.
    pub has_lasting_room: bool,
    /// The demand of each task for which the host is drained, and when the task is expected to start.
    pub drained_demand: Vec<(Resources, BootTime)>,
}

/// How far best-effort tasks are throttled on a host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum BestEffortThrottle {
    /// No run on the host serves requests.
    Unthrottled,
    /// Best-effort tasks share the host with runs that serve requests.
    Throttled,
    /// Runs that serve requests leave best-effort tasks no CPU share.
    Blocked,
}

impl BestEffortThrottle {
    fn new(entry: &WorkerEntry) -> Self {
        match (entry.serving_runs, entry.best_effort_share) {
            (0, _) => Self::Unthrottled,
            (_, Percent(0)) => Self::Blocked,
            _ => Self::Throttled,
        }
    }
}

impl Host {
    pub fn new(entry: &WorkerEntry, info: &WorkerInfo, reserved: &Resources) -> Self {
        Self {
            key: info.key.clone(),
            rack: info.rack.clone(),
            service: info.service.clone(),
            labels: info.labels.clone(),
            capacity: info.capacity,
            is_cold: info.is_cold,
            is_quarantined: false,
            speed: entry.speed(),
            best_effort_throttle: BestEffortThrottle::new(entry),
            allocated: entry.used.saturating_add(reserved),
            used: entry.used,
            has_lasting_room: true,
            drained_demand: Vec::new(),
        }
    }

    pub fn id(&self) -> &WorkerId {
        &self.key.id
    }

    /// Whether neither runs nor reservations use its resources.
    pub fn is_idle(&self) -> bool {
        self.allocated == Resources::default()
    }

    /// Whether its runs use more than its capacity, which may have shrunk under them. Nothing may start on it then, not even
    /// what needs none of the resource that is exceeded.
    pub fn is_over_capacity(&self) -> bool {
        !self.capacity.can_fit(&self.used)
    }

    /// Resources allocated to neither runs nor reservations.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.allocated)
    }

    /// Resources free for a task that ends at `end`: it may backfill drained resources that are needed only later.
    pub fn free_until(&self, end: BootTime) -> Resources {
        let needed_before = self
            .drained_demand
            .iter()
            .filter(|(_, starts_at)| *starts_at < end);
        let allocated = needed_before.fold(self.allocated, |allocated, (demand, _)| {
            allocated.saturating_add(demand)
        });
        self.capacity.saturating_sub(&allocated)
    }

    /// Whether the host may run tasks of a step, whatever is free on it. A host that leaves best-effort tasks no CPU
    /// share does not admit them.
    pub fn admits(&self, step: &Step, service: &ServiceId) -> bool {
        self.service == *service
            && self.capacity.can_fit(&step.reserved())
            && !(step.best_effort && self.best_effort_throttle == BestEffortThrottle::Blocked)
            && step.accepts_labels(&self.labels)
    }

    /// Whether the host is on the rack of the step's data, if it names one; tasks run much slower elsewhere.
    pub fn is_local(&self, step: &Step) -> bool {
        step.data_rack
            .as_ref()
            .is_none_or(|rack| *rack == self.rack)
    }
}
