use super::{SimulatedSite, worker::SimulatedWorker};
use lycheeyard_jobs::{BootTime, Resources};
use lycheeyard_protocol::WorkerId;
use std::time::Duration;

/// A capacity that has shrunk counts against starts only after this: 3 s, and one interval at which workers write their
/// entries.
pub(super) const SHRINK_GRACE: Duration = Duration::from_millis(4500);

/// A capacity that a worker had, and the time until which it still counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct FormerCapacity {
    pub capacity: Resources,
    pub until: BootTime,
}

impl SimulatedSite {
    /// Changes the capacity of a worker. The scheduler learns it from [`Self::list_worker`].
    pub fn resize_worker(&mut self, id: &WorkerId, capacity: Resources) {
        let until = self.now.boot.after(SHRINK_GRACE);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.resize(capacity, until);
        }
    }

    /// Tells the scheduler what the entry of a worker says now.
    pub fn list_worker(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get(id) {
            self.scheduler.worker_listed(worker.info.clone(), self.now);
        }
    }
}

impl SimulatedWorker {
    fn resize(&mut self, capacity: Resources, until: BootTime) {
        let former = FormerCapacity {
            capacity: self.info.capacity,
            until,
        };
        self.former_capacities.push(former);
        self.info.capacity = capacity;
    }

    /// How many of its runs are ending.
    #[must_use]
    pub fn ending_runs(&self) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.ending.is_some()).count()
    }

    /// Whether starts that bring the use of resources to `used` are allowed: a worker that rejects what exceeds its capacity
    /// goes by the present one, and the check of the others by the former ones too while they count.
    pub(super) fn allows(&self, used: &Resources, now: BootTime) -> bool {
        if self.enforces_capacity {
            return self.info.capacity.can_fit(used);
        }
        let former = self.former_capacities.iter();
        let former = former.filter(|former| !former.until.is_past(now));
        let counted = former.fold(self.info.capacity, |counted, former| {
            largest(&counted, &former.capacity)
        });
        counted.can_fit(used)
    }
}

fn largest(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
