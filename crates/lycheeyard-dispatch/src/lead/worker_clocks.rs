use crate::ports::WorkerClock;
use lycheeyard_jobs::{BootTime, WorkerKey};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Converts times of this instance to the workers' clocks.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerClocks {
    /// For each worker the last reading of its clock, and the time on this instance's clock when the reading arrived.
    /// It arrives at or after the time at which it was made, so converted times are early rather than late.
    readings: Arc<Mutex<BTreeMap<WorkerKey, (WorkerClock, BootTime)>>>,
}

impl WorkerClocks {
    /// Records a clock reading that arrived at `received_at`. Returns by how much its transit time exceeds that of the previous reading
    /// of this worker; zero for the first reading.
    pub fn record(
        &self,
        worker: &WorkerKey,
        clock: WorkerClock,
        received_at: BootTime,
    ) -> Duration {
        let mut readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        let former = readings.insert(worker.clone(), (clock, received_at));
        let late_by = former.map(|(former, at)| {
            let on_worker = clock.0.saturating_sub(former.0);
            received_at.0.saturating_sub(at.0).saturating_sub(on_worker)
        });
        Duration::from_millis(late_by.unwrap_or(0))
    }

    /// Converts a time of this instance to the worker's clock. The result is never late, but may be early by the
    /// network delay. Returns `None` before the first reading.
    pub fn translate(&self, worker: &WorkerKey, time: BootTime) -> Option<WorkerClock> {
        let readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        let (clock, at) = readings.get(worker)?;
        let later = clock.0.saturating_add(time.0.saturating_sub(at.0));
        Some(WorkerClock(
            later.saturating_sub(at.0.saturating_sub(time.0)),
        ))
    }
}
