use lycheeyard_jobs::{WorkerInfo, WorkerKey};
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

/// The workers that have announced that they leave, by the newest list of workers that this instance has read.
///
/// The follower of the list updates it directly, so that senders of orders know of a change before the scheduling loop has
/// applied it.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingWorkers {
    keys: Arc<Mutex<BTreeSet<WorkerKey>>>,
}

impl LeavingWorkers {
    /// Notes what a worker's entry in the list says.
    pub fn update(&self, worker: &WorkerInfo) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        if worker.draining {
            keys.insert(worker.key.clone());
        } else {
            keys.remove(&worker.key);
        }
    }

    /// Whether a worker has announced that it leaves.
    pub fn contains(&self, worker: &WorkerKey) -> bool {
        let keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        keys.contains(worker)
    }
}
