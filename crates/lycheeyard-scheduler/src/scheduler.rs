use crate::{
    SchedulerError, WorkerTable,
    gang::{GangDriver, GangStatus},
};
use lycheeyard_platform::{Store, Workers, WriteOutcome};
use lycheeyard_policy::{Action, JobKey, Snapshot, StopReason, plan};
use lycheeyard_protocol::{
    AuditEvent, DataCentreId, InstanceId, JobRecord, JobState, Placement, Preemption, Timestamp,
};
use lycheeyard_state::{
    AuditTrail, Configuration, HeldLease, JobStore, LeaseStep, SchedulerLease, StateError,
    StoredJob,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

const ROUND_EVERY: Duration = Duration::from_millis(200);
const STORE_CALL: Duration = Duration::from_millis(800);
const TASK_LEASE: Duration = Duration::from_secs(15);
const MAX_FAILURES: u32 = 3;

/// The settings of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The instance that runs it.
    pub instance: InstanceId,
    /// The time that a scheduler lease lasts.
    pub lease: Duration,
}

/// What a scheduler shows to others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulerStatus {
    /// The lease, while it is held.
    pub held: Option<HeldLease>,
}

/// The scheduler of one data centre; it acts only while it holds the lease.
#[derive(Debug)]
pub struct Scheduler<S, W> {
    settings: SchedulerSettings,
    lease: SchedulerLease<S>,
    jobs: JobStore<S>,
    gangs: GangDriver<W>,
    table: WorkerTable,
    config: watch::Receiver<Arc<Configuration>>,
    status: watch::Sender<SchedulerStatus>,
    audit: AuditTrail,
}

impl<S: Store, W: Workers> Scheduler<S, W> {
    /// Makes a scheduler; it does nothing until it runs.
    #[must_use]
    pub fn new(
        settings: SchedulerSettings,
        store: S,
        workers: W,
        table: WorkerTable,
        config: watch::Receiver<Arc<Configuration>>,
        audit: AuditTrail,
    ) -> Self {
        let lease = SchedulerLease::new(
            store.clone(),
            &settings.data_centre,
            settings.instance.clone(),
            settings.lease,
        );
        Self {
            lease,
            jobs: JobStore::new(store),
            gangs: GangDriver::new(workers, table.clone()),
            table,
            config,
            status: watch::Sender::default(),
            audit,
            settings,
        }
    }

    /// Follows whether the lease is held.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<SchedulerStatus> {
        self.status.subscribe()
    }

    /// Runs rounds until `stop` is cancelled, then gives the lease up.
    pub async fn run(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            if let Err(err) = self.round().await {
                warn!("scheduler: round incomplete: {err}");
            }
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(ROUND_EVERY) => {}
            }
        }
        self.resign().await;
    }

    async fn resign(&self) {
        let held = self.status.borrow().held;
        let Some(held) = held else { return };
        self.status.send_replace(SchedulerStatus::default());
        match self.lease.resign(held, store_deadline()).await {
            Ok(()) => self
                .audit
                .record(AuditEvent::LeaseResigned { epoch: held.epoch }),
            Err(err) => warn!("scheduler: lease left to lapse: {err}"),
        }
    }

    async fn round(&self) -> Result<(), SchedulerError> {
        let Some(held) = self.keep_lease().await? else {
            return Ok(());
        };
        let config = self.config.borrow().clone();
        let Some(data_centre) = config.data_centres.get(&self.settings.data_centre) else {
            return Ok(());
        };
        let stored = self
            .jobs
            .list(&self.settings.data_centre, store_deadline())
            .await?;
        let mut jobs: BTreeMap<JobKey, StoredJob> = stored
            .into_iter()
            .filter(|stored| !stored.record.state.is_final())
            .map(|stored| (JobKey::of(&stored.record), stored))
            .collect();
        for stored in jobs.values_mut() {
            self.follow_up(stored, held).await?;
        }
        let unavailable = data_centre
            .workers()
            .filter(|worker| !self.table.contains(&worker.id))
            .map(|worker| worker.id.clone())
            .collect();
        let mut snapshot = Snapshot::new(data_centre.clone(), config.organisations.clone());
        snapshot.jobs = jobs
            .iter()
            .filter(|(_, stored)| !stored.record.state.is_final())
            .map(|(key, stored)| (key.clone(), stored.record.clone()))
            .collect();
        snapshot.unavailable = unavailable;
        for action in plan(&snapshot, Timestamp::now()) {
            self.execute(action, &mut jobs, held).await?;
        }
        Ok(())
    }

    /// Renews the lease when half of it has passed, or tries to take it.
    async fn keep_lease(&self) -> Result<Option<HeldLease>, SchedulerError> {
        let now = Instant::now();
        let held = self
            .status
            .borrow()
            .held
            .filter(|held| held.valid_until > now);
        if let Some(held) = held
            && held.valid_until - now > self.settings.lease / 2
        {
            return Ok(Some(held));
        }
        let step = self.lease.acquire(held, store_deadline()).await;
        let next = match step {
            Ok(LeaseStep::Held(next)) => Some(next),
            Ok(LeaseStep::NotHeld) => None,
            Err(_) if held.is_some() => held,
            Err(err) => return Err(err.into()),
        };
        if let Some(next) = next
            && held.is_none_or(|held| held.epoch != next.epoch)
        {
            info!("scheduler: lease taken, epoch {}", next.epoch);
            self.audit
                .record(AuditEvent::LeaseTaken { epoch: next.epoch });
        }
        self.status.send_replace(SchedulerStatus { held: next });
        Ok(next)
    }

    /// Compares a job that holds accelerators with what its workers say.
    async fn follow_up(
        &self,
        stored: &mut StoredJob,
        held: HeldLease,
    ) -> Result<(), SchedulerError> {
        let record = stored.record.clone();
        let Some(placement) = record.placement.clone() else {
            if record.cancel_requested {
                self.finish(stored, JobState::Cancelled, "cancelled")
                    .await?;
            }
            return Ok(());
        };
        check_lease(held)?;
        let wants_stop = record.cancel_requested || record.state != JobState::Running;
        if wants_stop {
            let checkpoint = record.spec.preemption == Preemption::Checkpoint;
            let status = self.gangs.stop(&record, &placement, checkpoint).await;
            return self.release(stored, status, false).await;
        }
        let lease_until = Timestamp::now().after(TASK_LEASE);
        match self.gangs.renew(&record, &placement, lease_until).await {
            GangStatus::Unclear | GangStatus::Running => Ok(()),
            GangStatus::Succeeded => self.finish(stored, JobState::Succeeded, "ended well").await,
            status @ GangStatus::Ended { .. } => self.release(stored, status, true).await,
            GangStatus::Partial => {
                let status = self.gangs.stop(&record, &placement, false).await;
                self.release(stored, status, true).await
            }
        }
    }

    /// Puts a job whose tasks have all ended back into the queue, or ends it.
    async fn release(
        &self,
        stored: &mut StoredJob,
        status: GangStatus,
        by_itself: bool,
    ) -> Result<(), SchedulerError> {
        let checkpoint_ms = match status {
            GangStatus::Succeeded => {
                return self.finish(stored, JobState::Succeeded, "ended well").await;
            }
            GangStatus::Ended { checkpoint_ms, .. } => checkpoint_ms,
            GangStatus::Unclear | GangStatus::Running | GangStatus::Partial => return Ok(()),
        };
        let failed = matches!(status, GangStatus::Ended { failed: true, .. });
        let mut record = stored.record.clone();
        record.failures += u32::from(failed && by_itself);
        record.checkpoint_ms = record.checkpoint_ms.max(checkpoint_ms);
        record.placement = None;
        record.started_at = None;
        record.state = JobState::Queued;
        if record.cancel_requested {
            return self.finish(stored, JobState::Cancelled, "cancelled").await;
        }
        if record.failures >= MAX_FAILURES {
            return self
                .finish(stored, JobState::Failed, "its tasks failed too often")
                .await;
        }
        info!("scheduler: job {} queued again", JobKey::of(&record));
        self.save(stored, record).await
    }

    async fn finish(
        &self,
        stored: &mut StoredJob,
        state: JobState,
        reason: &str,
    ) -> Result<(), SchedulerError> {
        let mut record = stored.record.clone();
        record.state = state;
        record.placement = None;
        record.ended_at = Some(Timestamp::now());
        reason.clone_into(&mut record.reason);
        info!("scheduler: job {} is {state}", JobKey::of(&record));
        self.save(stored, record).await
    }

    async fn execute(
        &self,
        action: Action,
        jobs: &mut BTreeMap<JobKey, StoredJob>,
        held: HeldLease,
    ) -> Result<(), SchedulerError> {
        check_lease(held)?;
        match action {
            Action::Start { job, placement } => match jobs.get_mut(&job) {
                Some(stored) => self.start(stored, placement, held).await,
                None => Ok(()),
            },
            Action::Stop { job, reason, .. } => match jobs.get_mut(&job) {
                Some(stored) => {
                    info!("scheduler: job {job} is stopped: {reason}");
                    let mut record = stored.record.clone();
                    record.state = JobState::Stopping;
                    record.reclaims += u32::from(matches!(reason, StopReason::Reclaim { .. }));
                    record.reason = format!("stopped: {reason}");
                    self.save(stored, record).await?;
                    self.follow_up(stored, held).await
                }
                None => Ok(()),
            },
            Action::Retire { job, reason } => match jobs.get_mut(&job) {
                Some(stored) => self.finish(stored, JobState::Failed, &reason).await,
                None => Ok(()),
            },
        }
    }

    async fn start(
        &self,
        stored: &mut StoredJob,
        placement: Placement,
        held: HeldLease,
    ) -> Result<(), SchedulerError> {
        let mut record = stored.record.clone();
        record.state = JobState::Starting;
        record.placement = Some(placement.clone());
        record.epoch = held.epoch;
        record.attempts += 1;
        self.save(stored, record).await?;
        check_lease(held)?;
        let mut record = stored.record.clone();
        let started = self.start_gang(&record, &placement).await;
        if let Ok(GangStatus::Running | GangStatus::Succeeded) = started {
            record.state = JobState::Running;
            record.started_at = Some(Timestamp::now());
            info!("scheduler: job {} started", JobKey::of(&record));
            return self.save(stored, record).await;
        }
        warn!("scheduler: job {} did not start", JobKey::of(&record));
        let status = self.gangs.stop(&record, &placement, false).await;
        self.release(stored, status, true).await
    }

    async fn start_gang(
        &self,
        record: &JobRecord,
        placement: &Placement,
    ) -> Result<GangStatus, SchedulerError> {
        let lease_until = Timestamp::now().after(TASK_LEASE);
        self.gangs.prepare(record, placement, lease_until).await?;
        self.gangs.start(record, placement, lease_until).await
    }

    async fn save(&self, stored: &mut StoredJob, record: JobRecord) -> Result<(), SchedulerError> {
        match self
            .jobs
            .update(stored, record.clone(), store_deadline())
            .await?
        {
            WriteOutcome::Applied(version) => {
                *stored = StoredJob { record, version };
                Ok(())
            }
            WriteOutcome::Conflict(_) | WriteOutcome::Unknown => Err(StateError::Unknown.into()),
        }
    }
}

fn check_lease(held: HeldLease) -> Result<(), SchedulerError> {
    if held.valid_until <= Instant::now() {
        return Err(SchedulerError::LeaseEnded);
    }
    Ok(())
}

fn store_deadline() -> Instant {
    Instant::now() + STORE_CALL
}
