use lycheeyard_jobs::{WorkerInfo, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// How long a worker that leaves is remembered after its entry is gone. An entry may be away for a moment, and an order may
/// still be sent again.
const MEMORY_OF_GONE_WORKERS: Duration = Duration::from_secs(15);

/// The workers that have announced that they leave, by the newest list of workers that this instance has read.
///
/// The follower of the list updates it directly, so that senders of orders know of a change before the scheduling loop has
/// applied it.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingWorkers {
    /// When each worker is forgotten; `None` while it is listed.
    workers: Arc<Mutex<Entries>>,
}

type Entries = BTreeMap<WorkerKey, Option<Instant>>;

impl LeavingWorkers {
    /// Notes what a worker's entry in the list says. Its former incarnations are gone.
    pub fn update(&self, worker: &WorkerInfo) {
        let mut workers = self.lock();
        forget_gone(&mut workers);
        note_gone(&mut workers, |key| key.id == worker.key.id);
        note_entry(&mut workers, worker);
    }

    /// Notes a full list. Workers that it lacks are gone.
    pub fn replace(&self, listed: &[WorkerInfo]) {
        let mut workers = self.lock();
        forget_gone(&mut workers);
        note_gone(&mut workers, |_| true);
        for worker in listed {
            note_entry(&mut workers, worker);
        }
    }

    /// Notes that a worker is no longer in the list.
    pub fn unlist(&self, id: &WorkerId) {
        let mut workers = self.lock();
        forget_gone(&mut workers);
        note_gone(&mut workers, |key| key.id == *id);
    }

    /// Whether a worker has announced that it leaves.
    pub fn contains(&self, worker: &WorkerKey) -> bool {
        self.lock().contains_key(worker)
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn note_entry(workers: &mut Entries, worker: &WorkerInfo) {
    if worker.draining {
        workers.insert(worker.key.clone(), None);
    } else {
        workers.remove(&worker.key);
    }
}

/// Notes that the workers for which `is_gone` returns true are not in the list, unless that is known.
fn note_gone(workers: &mut Entries, is_gone: impl Fn(&WorkerKey) -> bool) {
    let forget_at = Instant::now() + MEMORY_OF_GONE_WORKERS;
    for (_, gone) in workers.iter_mut().filter(|(key, _)| is_gone(key)) {
        gone.get_or_insert(forget_at);
    }
}

fn forget_gone(workers: &mut Entries) {
    let now = Instant::now();
    workers.retain(|_, forget_at| forget_at.is_none_or(|at| at > now));
}
