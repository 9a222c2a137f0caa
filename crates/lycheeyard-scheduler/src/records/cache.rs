use lycheeyard_policy::JobKey;
use lycheeyard_protocol::JobRecord;
use lycheeyard_state::{JobChanges, StoredJob, UnreadableJob};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{sync::Notify, time::Instant};
use tracing::warn;

/// The maximum length of a logged reason, in characters; it may quote the record.
const MAX_REASON_CHARS: usize = 200;

#[derive(Debug, Default)]
struct Inner {
    jobs: BTreeMap<JobKey, StoredJob>,
    /// The versions of ended jobs, so that an older read does not add them again.
    ended_versions: BTreeMap<JobKey, u64>,
    unconfirmed_writes: BTreeMap<JobKey, JobRecord>,
    /// The versions of records that cannot be read. What was read of them before, if anything, is kept.
    unreadable: BTreeMap<JobKey, u64>,
    version: u64,
    confirmed_at: Option<Instant>,
    generation: u64,
}

/// A cache of the records of a data centre's jobs that have not ended, as last read from the store.
#[derive(Clone, Debug, Default)]
pub struct JobCache {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    refresh: Arc<Notify>,
}

impl JobCache {
    /// Waits until a record changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Requests a full read of the records instead of only their changes.
    pub fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Waits until a full read is requested.
    pub async fn refresh_requested(&self) {
        self.refresh.notified().await;
    }

    /// A number that grows with each change of the cache, except for jobs that a full read removes.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.lock().generation
    }

    /// The store version up to which changes have been read.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.lock().version
    }

    /// When the last call that confirmed the cached records as current was sent.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.lock().confirmed_at
    }

    /// The record of one job, unless it has ended.
    #[must_use]
    pub fn get(&self, key: &JobKey) -> Option<StoredJob> {
        self.lock().jobs.get(key).cloned()
    }

    /// Whether the present record of a job cannot be read, so that it is unknown what the job holds.
    #[must_use]
    pub fn is_unreadable(&self, key: &JobKey) -> bool {
        self.lock().unreadable.contains_key(key)
    }

    /// The records of all jobs that have not ended.
    #[must_use]
    pub fn jobs(&self) -> BTreeMap<JobKey, StoredJob> {
        self.lock().jobs.clone()
    }

    /// The records of the jobs that hold accelerators.
    #[must_use]
    pub fn holding(&self) -> BTreeMap<JobKey, StoredJob> {
        let inner = self.lock();
        let holding = inner.jobs.iter();
        holding
            .filter(|(_, stored)| stored.record.placement.is_some())
            .map(|(key, stored)| (key.clone(), stored.clone()))
            .collect()
    }

    /// The records for planning, in which a write with an unknown outcome counts as done: it may still take effect.
    #[must_use]
    pub fn records(&self) -> BTreeMap<JobKey, JobRecord> {
        let inner = self.lock();
        let record = |(key, stored): (&JobKey, &StoredJob)| {
            let record = inner.unconfirmed_writes.get(key).unwrap_or(&stored.record);
            (key.clone(), record.clone())
        };
        inner.jobs.iter().map(record).collect()
    }

    /// The last write of a job's record if its outcome is unknown.
    #[must_use]
    pub fn unconfirmed_write(&self, key: &JobKey) -> Option<JobRecord> {
        self.lock().unconfirmed_writes.get(key).cloned()
    }

    /// Records a write whose outcome is unknown.
    pub fn add_unconfirmed_write(&self, key: &JobKey, record: JobRecord) {
        let mut inner = self.lock();
        inner.unconfirmed_writes.insert(key.clone(), record);
        inner.generation += 1;
    }

    /// Stores one record, unless the cache has a newer version.
    pub fn put(&self, stored: StoredJob) {
        let mut inner = self.lock();
        if inner.put(stored) {
            inner.generation += 1;
            self.changed.notify_one();
        }
    }

    /// Removes a job whose key no longer exists in the store.
    pub fn remove(&self, key: &JobKey) {
        let mut inner = self.lock();
        inner.jobs.remove(key);
        inner.unconfirmed_writes.remove(key);
        inner.unreadable.remove(key);
        inner.generation += 1;
    }

    /// Applies changes that were requested at `requested_at`.
    pub fn merge(&self, changes: JobChanges, requested_at: Instant) {
        let mut inner = self.lock();
        inner.merge(changes, requested_at);
        self.changed.notify_one();
    }

    /// Applies a full read. A cached job that the read lacks is removed, unless its version is newer than the read.
    pub fn replace(&self, all: JobChanges, requested_at: Instant) {
        let mut inner = self.lock();
        let read_at = all.version;
        let readable = all.jobs.iter().map(|job| JobKey::of(&job.record));
        let keys: BTreeSet<JobKey> = readable.chain(all.unreadable.iter().map(key_of)).collect();
        inner.merge(all, requested_at);
        let is_present = |key: &JobKey| keys.contains(key);
        inner
            .unreadable
            .retain(|key, version| *version > read_at || is_present(key));
        inner
            .jobs
            .retain(|key, stored| stored.version > read_at || is_present(key));
        inner.ended_versions.retain(|_, version| *version > read_at);
        let Inner {
            jobs,
            unconfirmed_writes,
            ..
        } = &mut *inner;
        unconfirmed_writes.retain(|key, _| jobs.contains_key(key));
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn merge(&mut self, changes: JobChanges, requested_at: Instant) {
        self.version = self.version.max(changes.version);
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        for stored in changes.jobs {
            if self.put(stored) {
                self.generation += 1;
            }
        }
        for job in changes.unreadable {
            self.note_unreadable(&job);
        }
    }

    /// Notes a record that cannot be read, and logs it once for each of its versions.
    fn note_unreadable(&mut self, job: &UnreadableJob) {
        let key = key_of(job);
        let cached = self.jobs.get(&key).map(|cached| cached.version);
        let known = cached.max(self.unreadable.get(&key).copied());
        if known.is_some_and(|known| known >= job.version) {
            return;
        }
        let reason: String = job.reason.chars().take(MAX_REASON_CHARS).collect();
        warn!("scheduler: the record of job {key} cannot be read; the job is set aside: {reason}");
        self.unreadable.insert(key, job.version);
        self.generation += 1;
    }

    /// Stores a record if it is newer, and returns whether it was.
    ///
    /// A newer version also settles an unconfirmed write: that write named the older version, so it was either applied
    /// or can no longer be.
    fn put(&mut self, stored: StoredJob) -> bool {
        let key = JobKey::of(&stored.record);
        let latest = self.jobs.get(&key).map(|cached| cached.version);
        let latest = latest.max(self.ended_versions.get(&key).copied());
        if latest.is_some_and(|latest| latest >= stored.version) {
            return false;
        }
        self.unconfirmed_writes.remove(&key);
        self.unreadable.remove(&key);
        if stored.record.state.is_final() {
            self.jobs.remove(&key);
            self.ended_versions.insert(key, stored.version);
        } else {
            self.jobs.insert(key, stored);
        }
        true
    }
}

fn key_of(job: &UnreadableJob) -> JobKey {
    JobKey {
        organisation: job.organisation.clone(),
        job: job.job.clone(),
    }
}
