use crate::ports::WorkerClock;
use lycheeyard_jobs::{BootTime, WorkerKey};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

/// How the workers' clocks stand to this instance's.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerClocks {
    /// A worker's clock and this instance's at the same time, or a little later.
    readings: Arc<Mutex<BTreeMap<WorkerKey, (WorkerClock, BootTime)>>>,
}

impl WorkerClocks {
    /// Takes note of a clock that was read before `received_at`.
    pub fn note(&self, worker: &WorkerKey, clock: WorkerClock, received_at: BootTime) {
        let mut readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        readings.insert(worker.clone(), (clock, received_at));
    }

    /// A time of this instance on a worker's clock, or a little earlier; none before a first reading.
    pub fn translate(&self, worker: &WorkerKey, time: BootTime) -> Option<WorkerClock> {
        let readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        let (clock, at) = readings.get(worker)?;
        Some(WorkerClock((clock.0 + time.0).saturating_sub(at.0)))
    }
}
