use super::{HealthChange, SchedulerStatistics};
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

const SAVE_INTERVAL: Duration = Duration::from_secs(30);
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Debug, Default)]
struct Inner {
    statistics: SchedulerStatistics,
    version: Option<u64>,
    is_loaded: bool,
    save_at: Option<Instant>,
}

/// Holds the scheduler's statistics: loads them at a takeover and saves them periodically.
#[derive(Debug)]
pub struct StatisticsKeeper<S> {
    store: SchedulerStateStore<S>,
    audit: AuditTrail,
    inner: Mutex<Inner>,
}

impl<S: Store> StatisticsKeeper<S> {
    /// Creates a keeper whose statistics are not loaded yet.
    #[must_use]
    pub fn new(store: SchedulerStateStore<S>, audit: AuditTrail) -> Self {
        Self {
            store,
            audit,
            inner: Mutex::default(),
        }
    }

    /// Discards the statistics at the start of an epoch, since another scheduler may have changed them.
    pub fn unload(&self) {
        *self.lock() = Inner::default();
    }

    /// Whether the statistics have been loaded.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.lock().is_loaded
    }

    /// Whether the statistics are due to be loaded or saved.
    #[must_use]
    pub fn is_due(&self) -> bool {
        let inner = self.lock();
        !inner.is_loaded || inner.save_at.is_some_and(|at| at <= Instant::now())
    }

    /// Loads the statistics, or saves them if they are already loaded.
    pub async fn sync(&self) {
        let deadline = Instant::now() + STORE_CALL_TIMEOUT;
        if !self.is_loaded() {
            self.load(deadline).await;
            return;
        }
        let (statistics, version) = {
            let mut inner = self.lock();
            inner.save_at = Some(Instant::now() + SAVE_INTERVAL);
            (inner.statistics.clone(), inner.version)
        };
        match self.store.save(&statistics, version, deadline).await {
            Ok(Some(version)) => self.lock().version = Some(version),
            Ok(None) => self.refresh_version(deadline).await,
            Err(err) => warn!("scheduler: failed to save the statistics: {err}"),
        }
    }

    /// Returns a copy of the current statistics.
    #[must_use]
    pub fn current(&self) -> SchedulerStatistics {
        self.lock().statistics.clone()
    }

    /// Charges organisations for the accelerators that their jobs hold.
    pub fn charge<'a>(&self, records: impl IntoIterator<Item = &'a JobRecord>) {
        self.lock().statistics.charge(records, Timestamp::now());
    }

    /// Records the workers on which a job's tasks failed, and returns all quarantined workers.
    pub fn observe_failures(
        &self,
        record: &JobRecord,
        workers: &BTreeSet<WorkerId>,
    ) -> BTreeSet<WorkerId> {
        let now = Timestamp::now();
        let job = JobKey::of(record).to_string();
        let mut inner = self.lock();
        for worker in workers {
            let change = inner.statistics.health.observe_failure(worker, &job, now);
            if change == HealthChange::Quarantined {
                warn!("scheduler: worker {worker} is quarantined");
                let worker = worker.clone();
                self.audit.record(AuditEvent::WorkerQuarantined { worker });
            }
        }
        inner.statistics.health.quarantined(now)
    }

    /// Updates the statistics after a job released its accelerators, given its records from before and after.
    pub fn observe_end(&self, before: &JobRecord, after: &JobRecord) {
        let mut inner = self.lock();
        match after.state {
            JobState::Succeeded => {
                inner.statistics.observe_run(before, Timestamp::now());
                for allocation in before.placement.iter().flat_map(|p| &p.allocations) {
                    let worker = &allocation.worker;
                    if inner.statistics.health.observe_success(worker) == HealthChange::Returned {
                        info!("scheduler: worker {worker} succeeded after its quarantine");
                        let worker = worker.clone();
                        self.audit.record(AuditEvent::WorkerReturned { worker });
                    }
                }
            }
            JobState::Failed => inner
                .statistics
                .health
                .clear_job_failures(&JobKey::of(after).to_string()),
            _ => {}
        }
    }

    async fn load(&self, deadline: Instant) {
        match self.store.load(deadline).await {
            Ok(stored) => {
                *self.lock() = Inner {
                    statistics: stored.state,
                    version: stored.version,
                    is_loaded: true,
                    save_at: Some(Instant::now() + SAVE_INTERVAL),
                };
            }
            Err(err) => warn!("scheduler: failed to load the statistics: {err}"),
        }
    }

    /// Reads the version that the next save must name, and keeps the statistics of this scheduler.
    async fn refresh_version(&self, deadline: Instant) {
        if let Ok(stored) = self.store.load::<SchedulerStatistics>(deadline).await {
            self.lock().version = stored.version;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
