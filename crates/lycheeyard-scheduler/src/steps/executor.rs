mod stops;

use super::{JobStep, StopProgress, settle_stop};
use crate::{
    SchedulerError, SchedulerSettings, SchedulerStatus,
    gang::{GangDriver, GangStatus},
    health::BookKeeper,
    records::JobCache,
    workers::WorkerViews,
};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::{
    AuditEvent, JobRecord, JobState, Placement, StopNote, TaskId, Timestamp, WorkerId,
};
use lycheeyard_state::{AuditTrail, HeldLease, JobStore, SaveOutcome, StateError, StoredJob};
use std::{collections::BTreeSet, time::Duration};
use tokio::{sync::watch, time::Instant};
use tracing::{info, warn};

const STORE_CALL: Duration = Duration::from_millis(1500);

/// How long accelerators stay set aside for a gang that is not started.
const PREPARE_LEASE: Duration = Duration::from_secs(5);
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(500);

/// The pause after a start that a worker refused, doubled with each attempt up to a limit.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(500);
const MAX_DOUBLINGS: u32 = 5;

/// Carries one step of one job out. Steps of different jobs run at the same time.
#[derive(Debug)]
pub struct Executor<S, W> {
    /// The settings.
    pub settings: SchedulerSettings,
    /// The durable records.
    pub jobs: JobStore<S>,
    /// The records as last seen.
    pub cache: JobCache,
    /// Calls to the workers.
    pub gangs: GangDriver<W>,
    /// The workers' answers.
    pub views: WorkerViews,
    /// Whether the lease is held.
    pub status: watch::Receiver<SchedulerStatus>,
    /// What the scheduler has learnt.
    pub book: BookKeeper<S>,
    /// The audit trail.
    pub audit: AuditTrail,
}

/// A step that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settled {
    /// The job.
    pub key: JobKey,
    /// When the last call that changes tasks was sent; earlier reports say nothing of it.
    pub effect_at: Option<Instant>,
    /// How long the job is left alone.
    pub pause: Duration,
}

/// What a step did besides changing the record.
#[derive(Clone, Copy, Debug, Default)]
struct Effect {
    at: Option<Instant>,
    pause: Duration,
}

impl<S: Store, W: Workers> Executor<S, W> {
    /// Carries a step out; an error leaves the job for a later round.
    pub async fn run(&self, key: JobKey, step: JobStep) -> Settled {
        let started_at = Instant::now();
        let Some(stored) = self.cache.get(&key) else {
            return Settled {
                key,
                effect_at: None,
                pause: Duration::ZERO,
            };
        };
        let effect = match self.step(stored, step).await {
            Ok(effect) => effect,
            Err(err) => {
                warn!("scheduler: step of job {key} not done: {err}");
                Effect {
                    at: Some(started_at),
                    pause: PAUSE_AFTER_ERROR,
                }
            }
        };
        Settled {
            key,
            effect_at: effect.at,
            pause: effect.pause,
        }
    }

    /// Stops tasks that no record names.
    pub async fn stop_orphans(&self, worker: WorkerId, tasks: BTreeSet<TaskId>) {
        if self.check_lease().is_err() {
            return;
        }
        if let Err(err) = self.gangs.stop_tasks(&worker, tasks).await {
            warn!("scheduler: unnamed tasks on {worker} not stopped: {err}");
        }
    }

    async fn step(&self, stored: StoredJob, step: JobStep) -> Result<Effect, SchedulerError> {
        self.check_lease()?;
        match step {
            JobStep::Wait => Ok(Effect::default()),
            JobStep::Resolve(record) => {
                self.save(&stored, *record).await?;
                Ok(Effect::default())
            }
            JobStep::Start(placement) => self.start(stored, placement).await,
            JobStep::FinishStart => self.finish_start(stored).await,
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
        let lease_until = Timestamp::now().after(PREPARE_LEASE);
        if let Err(err) = self.gangs.prepare(&stored.record, lease_until).await {
            warn!(
                "scheduler: job {} not prepared: {err}",
                JobKey::of(&stored.record)
            );
            let note = StopNote {
                never_started: true,
                ..stop_now()
            };
            let reason = format!("not prepared: {err}");
            let mut effect = self.begin_stop(&stored, note, reason, false).await?;
            effect.pause = refusal_pause(stored.record.attempts);
            return Ok(effect);
        }
        self.finish_start(stored).await
    }

    async fn finish_start(&self, stored: StoredJob) -> Result<Effect, SchedulerError> {
        let held = self.check_lease()?;
        let stored = if stored.record.epoch == held.epoch {
            stored
        } else {
            // From here on no late write of the scheduler that placed the gang can take effect.
            let mut record = stored.record.clone();
            record.epoch = held.epoch;
            self.save(&stored, record).await?
        };
        self.check_lease()?;
        let at = Instant::now();
        let lease_until = Timestamp::now().after(self.settings.task_lease);
        let record = &stored.record;
        let started = self.gangs.start(record, held.epoch, lease_until).await;
        let effect = Effect {
            at: Some(at),
            pause: Duration::ZERO,
        };
        if let Err(err) = started {
            warn!(
                "scheduler: start of job {} unclear: {err}",
                JobKey::of(record)
            );
            return Ok(effect);
        }
        let view = self
            .views
            .gang(record, effect.at, held.epoch, self.settings.silence_limit());
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
        info!("scheduler: job {} runs", JobKey::of(&stored.record));
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

    /// Makes a change durable. Where that is unclear, the change is kept to be sent again.
    async fn save(
        &self,
        stored: &StoredJob,
        record: JobRecord,
    ) -> Result<StoredJob, SchedulerError> {
        let key = JobKey::of(&record);
        let deadline = Instant::now() + STORE_CALL;
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
                    self.cache.add_doubt(&key, record);
                }
                Err(err.into())
            }
        }
    }

    fn check_lease(&self) -> Result<HeldLease, SchedulerError> {
        let held = self.status.borrow().held;
        held.filter(|held| held.valid_until > Instant::now())
            .ok_or(SchedulerError::LeaseEnded)
    }
}

fn stop_now() -> StopNote {
    StopNote {
        since: Timestamp::now(),
        checkpoint_until: Timestamp(0),
        checkpoint_ms: None,
        failed_on: BTreeSet::new(),
        never_started: false,
        lost: false,
    }
}

fn refusal_pause(attempts: u32) -> Duration {
    PAUSE_AFTER_REFUSAL * 2_u32.pow(attempts.saturating_sub(1).min(MAX_DOUBLINGS))
}
