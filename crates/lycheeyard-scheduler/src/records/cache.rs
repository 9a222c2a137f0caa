use lycheeyard_policy::JobKey;
use lycheeyard_protocol::JobRecord;
use lycheeyard_state::{JobChanges, StoredJob};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{sync::Notify, time::Instant};

#[derive(Debug, Default)]
struct Inner {
    jobs: BTreeMap<JobKey, StoredJob>,
    ended: BTreeMap<JobKey, u64>,
    doubts: BTreeMap<JobKey, JobRecord>,
    version: u64,
    confirmed_at: Option<Instant>,
    generation: u64,
}

/// The records of a data centre's jobs that have not ended, as the store last showed them.
#[derive(Clone, Debug, Default)]
pub struct JobCache {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    refresh: Arc<Notify>,
}

impl JobCache {
    /// Wakes when a record changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Asks for a whole read of the store, and not only for changes.
    pub fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Wakes when a whole read was asked for.
    pub async fn refresh_requested(&self) {
        self.refresh.notified().await;
    }

    /// Grows with every change.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.lock().generation
    }

    /// The store's version up to which changes are known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.lock().version
    }

    /// The start of the last call that showed the records to be complete.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.lock().confirmed_at
    }

    /// One job.
    #[must_use]
    pub fn get(&self, key: &JobKey) -> Option<StoredJob> {
        self.lock().jobs.get(key).cloned()
    }

    /// Every job that has not ended.
    #[must_use]
    pub fn jobs(&self) -> BTreeMap<JobKey, StoredJob> {
        self.lock().jobs.clone()
    }

    /// The jobs that hold accelerators.
    #[must_use]
    pub fn holding(&self) -> BTreeMap<JobKey, StoredJob> {
        let inner = self.lock();
        let holding = inner.jobs.iter();
        holding
            .filter(|(_, stored)| stored.record.placement.is_some())
            .map(|(key, stored)| (key.clone(), stored.clone()))
            .collect()
    }

    /// The jobs as planning must see them: a change that may yet take effect counts as made.
    #[must_use]
    pub fn records(&self) -> BTreeMap<JobKey, JobRecord> {
        let inner = self.lock();
        let record = |(key, stored): (&JobKey, &StoredJob)| {
            let record = inner.doubts.get(key).unwrap_or(&stored.record);
            (key.clone(), record.clone())
        };
        inner.jobs.iter().map(record).collect()
    }

    /// The change of a job that may or may not have taken effect.
    #[must_use]
    pub fn doubt(&self, key: &JobKey) -> Option<JobRecord> {
        self.lock().doubts.get(key).cloned()
    }

    /// Notes a change that may or may not have taken effect.
    pub fn add_doubt(&self, key: &JobKey, record: JobRecord) {
        let mut inner = self.lock();
        inner.doubts.insert(key.clone(), record);
        inner.generation += 1;
    }

    /// Takes one record in, unless a newer one is known.
    pub fn put(&self, stored: StoredJob) {
        let mut inner = self.lock();
        if inner.put(stored) {
            inner.generation += 1;
            self.changed.notify_one();
        }
    }

    /// Forgets a job whose key is gone.
    pub fn remove(&self, key: &JobKey) {
        let mut inner = self.lock();
        inner.jobs.remove(key);
        inner.doubts.remove(key);
        inner.generation += 1;
    }

    /// Takes changes in that were asked for at `asked_at`.
    pub fn merge(&self, changes: JobChanges, asked_at: Instant) {
        let mut inner = self.lock();
        inner.merge(changes, asked_at);
        self.changed.notify_one();
    }

    /// Takes a whole read in; a job that it lacks is gone, unless it is newer.
    pub fn replace(&self, all: JobChanges, asked_at: Instant) {
        let mut inner = self.lock();
        let read_at = all.version;
        let keys: Vec<JobKey> = all.jobs.iter().map(|job| JobKey::of(&job.record)).collect();
        inner.merge(all, asked_at);
        let present = |key: &JobKey| keys.binary_search(key).is_ok();
        inner
            .jobs
            .retain(|key, stored| stored.version > read_at || present(key));
        inner.ended.retain(|_, version| *version > read_at);
        let Inner { jobs, doubts, .. } = &mut *inner;
        doubts.retain(|key, _| jobs.contains_key(key));
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn merge(&mut self, changes: JobChanges, asked_at: Instant) {
        self.version = self.version.max(changes.version);
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        for stored in changes.jobs {
            if self.put(stored) {
                self.generation += 1;
            }
        }
    }

    /// A newer version also ends a doubt, since the doubtful write named the older one.
    fn put(&mut self, stored: StoredJob) -> bool {
        let key = JobKey::of(&stored.record);
        let known = self.jobs.get(&key).map(|known| known.version);
        let known = known.max(self.ended.get(&key).copied());
        if known.is_some_and(|known| known >= stored.version) {
            return false;
        }
        self.doubts.remove(&key);
        if stored.record.state.is_final() {
            self.jobs.remove(&key);
            self.ended.insert(key, stored.version);
        } else {
            self.jobs.insert(key, stored);
        }
        true
    }
}
