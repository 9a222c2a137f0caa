use lycheeyard_jobs::{WorkerInfo, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// How long a worker that leaves is kept here after its entry was removed from the list. The entry may return within seconds,
/// and an order may still be sent again.
const RETENTION: Duration = Duration::from_secs(15);

/// The workers that have announced that they leave, by the newest list of workers that this instance has read.
///
/// The follower of the list updates it directly, so that senders of orders know of a change before the scheduling loop has
/// applied it.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingWorkers {
    /// When each worker is removed from here; `None` while it is listed.
    workers: Arc<Mutex<Entries>>,
}

type Entries = BTreeMap<WorkerKey, Option<Instant>>;

impl LeavingWorkers {
    /// Applies a worker's entry in the list. Its former incarnations have left the list.
    pub fn update(&self, worker: &WorkerInfo) {
        let mut workers = self.lock();
        remove_expired(&mut workers);
        mark_unlisted(&mut workers, |key| key.id == worker.key.id);
        apply_entry(&mut workers, worker);
    }

    /// Applies a full list. Workers that it lacks have left the list.
    pub fn replace(&self, listed: &[WorkerInfo]) {
        let mut workers = self.lock();
        remove_expired(&mut workers);
        mark_unlisted(&mut workers, |_| true);
        for worker in listed {
            apply_entry(&mut workers, worker);
        }
    }

    /// Records that a worker has left the list.
    pub fn unlist(&self, id: &WorkerId) {
        let mut workers = self.lock();
        remove_expired(&mut workers);
        mark_unlisted(&mut workers, |key| key.id == *id);
    }

    /// Whether a worker has announced that it leaves.
    pub fn contains(&self, worker: &WorkerKey) -> bool {
        self.lock().contains_key(worker)
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn apply_entry(workers: &mut Entries, worker: &WorkerInfo) {
    if worker.draining {
        workers.insert(worker.key.clone(), None);
    } else {
        workers.remove(&worker.key);
    }
}

/// Sets when the workers for which `has_left` returns true are removed from here, unless it is set already.
fn mark_unlisted(workers: &mut Entries, has_left: impl Fn(&WorkerKey) -> bool) {
    let expires_at = Instant::now() + RETENTION;
    for (_, expiry) in workers.iter_mut().filter(|(key, _)| has_left(key)) {
        expiry.get_or_insert(expires_at);
    }
}

fn remove_expired(workers: &mut Entries) {
    let now = Instant::now();
    workers.retain(|_, expires_at| expires_at.is_none_or(|at| at > now));
}
