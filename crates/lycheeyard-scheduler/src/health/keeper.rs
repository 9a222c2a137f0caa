use super::{HealthChange, SchedulerBook};
use lycheeyard_clients::Store;
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::{AuditEvent, JobRecord, JobState, Timestamp, WorkerId};
use lycheeyard_state::{AuditTrail, SchedulerStateStore};
use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;
use tracing::{info, warn};

const SAVE_EVERY: Duration = Duration::from_secs(30);
const STORE_CALL: Duration = Duration::from_millis(1500);

#[derive(Debug, Default)]
struct Inner {
    book: SchedulerBook,
    version: Option<u64>,
    loaded: bool,
    save_at: Option<Instant>,
}

/// Holds the scheduler's book, loads it at a takeover and writes it now and then.
#[derive(Debug)]
pub struct BookKeeper<S> {
    store: SchedulerStateStore<S>,
    audit: AuditTrail,
    inner: Mutex<Inner>,
}

impl<S: Store> BookKeeper<S> {
    /// Makes a keeper whose book is not loaded yet.
    #[must_use]
    pub fn new(store: SchedulerStateStore<S>, audit: AuditTrail) -> Self {
        Self {
            store,
            audit,
            inner: Mutex::default(),
        }
    }

    /// Forgets the book, since another scheduler may have changed it.
    pub fn unload(&self) {
        *self.lock() = Inner::default();
    }

    /// Whether the book is loaded.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.lock().loaded
    }

    /// Whether the book should be loaded or written now.
    #[must_use]
    pub fn is_due(&self) -> bool {
        let inner = self.lock();
        !inner.loaded || inner.save_at.is_some_and(|at| at <= Instant::now())
    }

    /// Loads the book, or writes it if it is loaded.
    pub async fn sync(&self) {
        let deadline = Instant::now() + STORE_CALL;
        if !self.is_loaded() {
            self.load(deadline).await;
            return;
        }
        let (book, version) = {
            let mut inner = self.lock();
            inner.save_at = Some(Instant::now() + SAVE_EVERY);
            (inner.book.clone(), inner.version)
        };
        match self.store.save(&book, version, deadline).await {
            Ok(Some(version)) => self.lock().version = Some(version),
            Ok(None) => self.refresh_version(deadline).await,
            Err(err) => warn!("scheduler: book not written: {err}"),
        }
    }

    /// A copy of the book.
    #[must_use]
    pub fn book(&self) -> SchedulerBook {
        self.lock().book.clone()
    }

    /// Charges the accelerators that jobs hold.
    pub fn charge<'a>(&self, records: impl IntoIterator<Item = &'a JobRecord>) {
        self.lock().book.charge(records, Timestamp::now());
    }

    /// Notes the workers on which a job's tasks failed; gives the workers that are quarantined.
    pub fn observe_failures(
        &self,
        record: &JobRecord,
        workers: &BTreeSet<WorkerId>,
    ) -> BTreeSet<WorkerId> {
        let now = Timestamp::now();
        let job = JobKey::of(record).to_string();
        let mut inner = self.lock();
        for worker in workers {
            let change = inner.book.health.observe_failure(worker, &job, now);
            if change == HealthChange::Quarantined {
                warn!("scheduler: worker {worker} is quarantined");
                let worker = worker.clone();
                self.audit.record(AuditEvent::WorkerQuarantined { worker });
            }
        }
        inner.book.health.quarantined(now)
    }

    /// Learns from a job that has left its accelerators, given its record from before.
    pub fn observe_end(&self, before: &JobRecord, after: &JobRecord) {
        let mut inner = self.lock();
        match after.state {
            JobState::Succeeded => {
                inner.book.observe_run(before, Timestamp::now());
                for allocation in before.placement.iter().flat_map(|p| &p.allocations) {
                    let worker = &allocation.worker;
                    if inner.book.health.observe_success(worker) == HealthChange::Returned {
                        info!("scheduler: worker {worker} is back");
                        let worker = worker.clone();
                        self.audit.record(AuditEvent::WorkerReturned { worker });
                    }
                }
            }
            JobState::Failed => inner.book.health.forgive(&JobKey::of(after).to_string()),
            _ => {}
        }
    }

    async fn load(&self, deadline: Instant) {
        match self.store.load(deadline).await {
            Ok(stored) => {
                *self.lock() = Inner {
                    book: stored.state,
                    version: stored.version,
                    loaded: true,
                    save_at: Some(Instant::now() + SAVE_EVERY),
                };
            }
            Err(err) => warn!("scheduler: book not read: {err}"),
        }
    }

    /// Finds the version that the next write must name; what this scheduler has learnt stays.
    async fn refresh_version(&self, deadline: Instant) {
        if let Ok(stored) = self.store.load::<SchedulerBook>(deadline).await {
            self.lock().version = stored.version;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
