mod stops;

use super::{JobStep, StartOrders, StopProgress, advance_stop};
use crate::{
    SchedulerError, SchedulerSettings, SchedulerStatus,
    gang::{GangDriver, GangStatus},
    health::StatisticsKeeper,
    records::JobCache,
    workers::WorkerReports,
};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::{
    AuditEvent, JobRecord, JobState, Placement, StopNote, TaskId, Timestamp, WorkerId,
};
use lycheeyard_state::{
    AuditTrail, Configuration, HeldLease, JobStore, SaveOutcome, StateError, StoredJob,
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::{sync::watch, time::Instant};
use tracing::{info, warn};

const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a worker reserves accelerators for a prepared task that is not started.
const PREPARE_LEASE: Duration = Duration::from_secs(5);
const ERROR_BACKOFF: Duration = Duration::from_millis(500);

/// The backoff after a failed preparation; it doubles with each attempt up to `MAX_BACKOFF_DOUBLINGS` times.
const PREPARE_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Executes steps, each for one job. Steps of different jobs run concurrently.
#[derive(Debug)]
pub struct Executor<S, W> {
    /// The settings of this scheduler.
    pub settings: SchedulerSettings,
    /// The job records in the store.
    pub jobs: JobStore<S>,
    /// The job records as last read.
    pub cache: JobCache,
    /// Sends calls to the workers of a gang.
    pub gangs: GangDriver<W>,
    /// The latest reports of the workers.
    pub reports: WorkerReports,
    /// The scheduler lease, while this instance holds it.
    pub status: watch::Receiver<SchedulerStatus>,
    /// The configuration in force, which may evacuate the data centre while a step runs.
    pub config: watch::Receiver<Arc<Configuration>>,
    /// Worker health, usage and run-time corrections.
    pub statistics: StatisticsKeeper<S>,
    /// Receives an entry for each placement, reclaim and release.
    pub audit: AuditTrail,
}

/// The outcome of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StepOutcome {
    /// The job that the step was for.
    pub key: JobKey,
    /// When the last call that may have changed tasks was sent; reports requested earlier do not show its result.
    pub effect_at: Option<Instant>,
    /// How long to wait before the job's next step.
    pub backoff: Duration,
}

/// The effect of a step beyond its change of the record.
#[derive(Clone, Copy, Debug, Default)]
struct Effect {
    sent_at: Option<Instant>,
    backoff: Duration,
}

impl<S: Store, W: Workers> Executor<S, W> {
    /// Executes a step; after an error, a later round decides the job's next step.
    pub async fn run(&self, key: JobKey, step: JobStep) -> StepOutcome {
        let started_at = Instant::now();
        let Some(stored) = self.cache.get(&key) else {
            return StepOutcome {
                key,
                effect_at: None,
                backoff: Duration::ZERO,
            };
        };
        let effect = match self.execute(stored, step).await {
            Ok(effect) => effect,
            Err(err) => {
                warn!("scheduler: step of job {key} failed: {err}");
                Effect {
                    sent_at: Some(started_at),
                    backoff: ERROR_BACKOFF,
                }
            }
        };
        StepOutcome {
            key,
            effect_at: effect.sent_at,
            backoff: effect.backoff,
        }
    }

    /// Stops orphaned tasks of a worker: those that no job record names.
    pub async fn stop_orphans(&self, worker: WorkerId, tasks: BTreeSet<TaskId>) {
        if self.check_lease().is_err() {
            return;
        }
        if let Err(err) = self.gangs.stop_tasks(&worker, tasks).await {
            warn!("scheduler: failed to stop tasks on {worker} that no job record names: {err}");
        }
    }

    async fn execute(&self, stored: StoredJob, step: JobStep) -> Result<Effect, SchedulerError> {
        self.check_lease()?;
        match step {
            JobStep::Wait => Ok(Effect::default()),
            JobStep::RetryWrite(record) => {
                self.save(&stored, *record).await?;
                Ok(Effect::default())
            }
            JobStep::Start(placement) => self.start(stored, placement).await,
            JobStep::FinishStart => self.finish_start(stored, StartOrders::MaybeSent).await,
            JobStep::MarkRunning => self.mark_running(&stored, Effect::default()).await,
            JobStep::BeginStop {
                note,
                reason,
                reclaim,
            } => self.begin_stop(&stored, note, reason, reclaim).await,
            JobStep::ContinueStop => self.continue_stop(stored).await,
            JobStep::Finish { state, reason } => self.finish(&stored, state, reason).await,
        }
    }

    async fn start(
        &self,
        stored: StoredJob,
        placement: Placement,
    ) -> Result<Effect, SchedulerError> {
        let held = self.check_lease()?;
        if self.is_evacuated() {
            return Ok(Effect::default());
        }
        let mut record = stored.record.clone();
        record.state = JobState::Starting;
        record.placement = Some(placement.clone());
        record.epoch = held.epoch;
        record.attempts += 1;
        record.stopping = None;
        let stored = self.save(&stored, record).await?;
        self.audit.record(AuditEvent::JobPlaced {
            organisation: stored.record.spec.organisation.clone(),
            job: stored.record.spec.job.clone(),
            placement,
        });
        self.check_lease()?;
        if self.is_evacuated() {
            return self.withdraw(&stored, StartOrders::NoneSent).await;
        }
        let lease_until = Timestamp::now().after(PREPARE_LEASE);
        if let Err(err) = self.gangs.prepare(&stored.record, lease_until).await {
            warn!(
                "scheduler: failed to prepare the gang of job {}: {err}",
                JobKey::of(&stored.record)
            );
            let note = StopNote {
                never_started: true,
                ..StopNote::immediate(Timestamp::now())
            };
            let reason = format!("not prepared: {err}");
            let mut effect = self.begin_stop(&stored, note, reason, false).await?;
            effect.backoff = prepare_backoff(stored.record.attempts);
            return Ok(effect);
        }
        self.finish_start(stored, StartOrders::NoneSent).await
    }

    /// Starts the tasks of a prepared gang, or withdraws the gang if the data centre is evacuated by then.
    async fn finish_start(
        &self,
        stored: StoredJob,
        earlier: StartOrders,
    ) -> Result<Effect, SchedulerError> {
        let held = self.check_lease()?;
        let stored = if stored.record.epoch == held.epoch {
            stored
        } else {
            // This write fences the scheduler that placed the gang: its late writes no longer take effect.
            let mut record = stored.record.clone();
            record.epoch = held.epoch;
            self.save(&stored, record).await?
        };
        self.check_lease()?;
        // There is no wait between this check and the orders.
        if self.is_evacuated() {
            return self.withdraw(&stored, earlier).await;
        }
        let sent_at = Some(Instant::now());
        let lease_until = Timestamp::now().after(self.settings.task_lease);
        let record = &stored.record;
        let started = self.gangs.start(record, held.epoch, lease_until).await;
        let effect = Effect {
            sent_at,
            backoff: Duration::ZERO,
        };
        if let Err(err) = started {
            warn!(
                "scheduler: not every worker confirmed the start of job {}: {err}",
                JobKey::of(record)
            );
            return Ok(effect);
        }
        let view = self.reports.gang_view(
            record,
            effect.sent_at,
            held.epoch,
            self.settings.silence_limit(),
        );
        match view.status() {
            GangStatus::Running | GangStatus::Succeeded => self.mark_running(&stored, effect).await,
            _ => Ok(effect),
        }
    }

    async fn mark_running(
        &self,
        stored: &StoredJob,
        effect: Effect,
    ) -> Result<Effect, SchedulerError> {
        let mut record = stored.record.clone();
        record.state = JobState::Running;
        record.started_at = Some(Timestamp::now());
        self.save(stored, record).await?;
        info!("scheduler: job {} is running", JobKey::of(&stored.record));
        Ok(effect)
    }

    async fn finish(
        &self,
        stored: &StoredJob,
        state: JobState,
        reason: String,
    ) -> Result<Effect, SchedulerError> {
        let mut record = stored.record.clone();
        record.state = state;
        record.placement = None;
        record.stopping = None;
        record.ended_at = Some(Timestamp::now());
        record.reason = reason;
        self.save_released(stored, record).await?;
        Ok(Effect::default())
    }

    fn record_release(&self, record: &JobRecord) {
        self.audit.record(AuditEvent::JobReleased {
            organisation: record.spec.organisation.clone(),
            job: record.spec.job.clone(),
            reason: format!("{}: {}", record.state, record.reason),
        });
    }

    /// Writes a change to the store. If the outcome is unknown, keeps the change so that it is sent again.
    async fn save(
        &self,
        stored: &StoredJob,
        record: JobRecord,
    ) -> Result<StoredJob, SchedulerError> {
        let key = JobKey::of(&record);
        let deadline = Instant::now() + STORE_CALL_TIMEOUT;
        match self.jobs.save(stored, record.clone(), deadline).await {
            Ok(SaveOutcome::Saved(saved)) => {
                self.cache.put(saved.clone());
                Ok(saved)
            }
            Ok(SaveOutcome::Changed(Some(present))) => {
                self.cache.put(present);
                Err(SchedulerError::RecordChanged)
            }
            Ok(SaveOutcome::Changed(None)) => {
                self.cache.remove(&key);
                Err(SchedulerError::RecordChanged)
            }
            Err(err) => {
                if err == StateError::Unknown {
                    self.cache.add_unconfirmed_write(&key, record);
                }
                Err(err.into())
            }
        }
    }

    fn is_evacuated(&self) -> bool {
        let config = self.config.borrow();
        config.is_evacuated(&self.settings.data_centre)
    }

    fn check_lease(&self) -> Result<HeldLease, SchedulerError> {
        let held = self.status.borrow().valid_lease(Instant::now());
        held.ok_or(SchedulerError::LeaseEnded)
    }
}

fn prepare_backoff(attempts: u32) -> Duration {
    PREPARE_BACKOFF * 2_u32.pow(attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS))
}
