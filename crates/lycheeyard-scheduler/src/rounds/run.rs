use super::SchedulingState;
use crate::{
    gang::task_id,
    metrics::SchedulerMetrics,
    steps::{Executor, JobStep, StepOutcome, next_step},
    workers::{PollSchedule, WorkerTable},
};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_policy::{Action, JobKey, Snapshot, StopReason, plan};
use lycheeyard_protocol::{
    AuditEvent, DataCentre, JobState, StopNote, Timestamp, WorkerId, platform::TaskReport,
};
use lycheeyard_state::{Configuration, HeldLease, StoredJob};
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// The longest wait for a change between two rounds, after `MIN_ROUND_GAP`.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
const MIN_ROUND_GAP: Duration = Duration::from_millis(100);

/// The time between two plans while no job is queued.
const IDLE_PLAN_INTERVAL: Duration = Duration::from_secs(1);
const MAX_CONCURRENT_STEPS: usize = 64;
const CHARGE_INTERVAL: Duration = Duration::from_secs(10);
const STATISTICS_SYNC_DELAY: Duration = Duration::from_secs(2);
const ORPHAN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How many cancelled queued jobs one round ends. The limit keeps a burst of cancellations from saturating the store.
const MAX_QUEUED_ENDS_PER_ROUND: usize = 8;

/// A worker gets no new tasks after it has been silent for two observation intervals plus this margin.
const USABLE_SILENCE_MARGIN: Duration = Duration::from_millis(1500);

/// The scheduling loop: while the lease is held, each round plans and starts the resulting steps.
#[derive(Debug)]
pub struct Rounds<S, W> {
    executor: Arc<Executor<S, W>>,
    table: WorkerTable,
    config: watch::Receiver<Arc<Configuration>>,
    metrics: SchedulerMetrics,
}

impl<S: Store, W: Workers> Rounds<S, W> {
    /// Creates a loop that runs its steps on the given executor.
    #[must_use]
    pub fn new(
        executor: Executor<S, W>,
        table: WorkerTable,
        config: watch::Receiver<Arc<Configuration>>,
    ) -> Self {
        Self {
            executor: Arc::new(executor),
            table,
            config,
            metrics: SchedulerMetrics::default(),
        }
    }

    /// Runs rounds until `stop` is cancelled, then waits for the steps in flight.
    pub async fn run(self, stop: CancellationToken) {
        let mut state = SchedulingState::default();
        let mut steps = JoinSet::new();
        while !stop.is_cancelled() {
            self.run_round(&mut state, &mut steps);
            tokio::time::sleep(MIN_ROUND_GAP).await;
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(ROUND_INTERVAL) => {}
                () = self.executor.cache.changed() => {}
                () = self.executor.reports.changed() => {}
                Some(Ok(outcome)) = steps.join_next() => state.record_outcome(outcome),
            }
            while let Some(Ok(outcome)) = steps.try_join_next() {
                state.record_outcome(outcome);
            }
        }
        while steps.join_next().await.is_some() {}
    }

    fn run_round(&self, state: &mut SchedulingState, steps: &mut JoinSet<Option<StepOutcome>>) {
        let now = Instant::now();
        let Some(held) = self.executor.status.borrow().valid_lease(now) else {
            return;
        };
        if state.observe_lease(held, now) {
            self.executor.statistics.unload();
        }
        // Records read before the first round of this epoch may lack the last writes of the previous scheduler.
        let confirmed_at = self.executor.cache.confirmed_at();
        if confirmed_at < state.first_round_at {
            return;
        }
        let config = self.config.borrow().clone();
        let Some(data_centre) = config.data_centres.get(&self.executor.settings.data_centre) else {
            return;
        };
        // A configured worker that the instance list lacks is never called. The noted polls let it count as silent, so
        // that its gangs are stopped.
        for worker in data_centre.workers() {
            self.executor.reports.note_poll(&worker.id);
        }
        state.paused_until.retain(|_, until| *until > now);
        self.sync_statistics(state, steps);
        if !self.executor.statistics.is_loaded() {
            return;
        }
        self.spawn_follow_ups(state, steps, held);
        self.plan(state, steps, &config, data_centre, held);
        self.stop_orphans(state, steps);
    }

    /// Charges usage and starts a load or save of the statistics, each when it is due.
    fn sync_statistics(
        &self,
        state: &mut SchedulingState,
        steps: &mut JoinSet<Option<StepOutcome>>,
    ) {
        let statistics = &self.executor.statistics;
        let now = Instant::now();
        let is_charge_due = state.next_charge_at.is_none_or(|at| at <= now);
        if statistics.is_loaded() && is_charge_due {
            state.next_charge_at = Some(now + CHARGE_INTERVAL);
            statistics.charge(self.executor.cache.records().values());
        }
        if statistics.is_due() && state.next_sync_at.is_none_or(|at| at <= now) {
            state.next_sync_at = Some(now + STATISTICS_SYNC_DELAY);
            let executor = self.executor.clone();
            steps.spawn(async move {
                executor.statistics.sync().await;
                None
            });
        }
    }

    /// Starts the steps that follow from the records and the workers' reports alone, without a plan.
    fn spawn_follow_ups(
        &self,
        state: &mut SchedulingState,
        steps: &mut JoinSet<Option<StepOutcome>>,
        held: HeldLease,
    ) {
        let now = Timestamp::now();
        let mut queued_jobs_ended = 0;
        for (key, stored) in self.executor.cache.jobs() {
            if !state.may_step(&key) {
                continue;
            }
            let step = self.next_step_of(&key, &stored, state, held, now);
            let ends_queued_job = stored.record.state == JobState::Queued;
            if step == JobStep::Wait
                || (ends_queued_job && queued_jobs_ended == MAX_QUEUED_ENDS_PER_ROUND)
            {
                continue;
            }
            queued_jobs_ended += usize::from(ends_queued_job);
            self.spawn_step(key, step, state, steps);
        }
    }

    fn next_step_of(
        &self,
        key: &JobKey,
        stored: &StoredJob,
        state: &SchedulingState,
        held: HeldLease,
        now: Timestamp,
    ) -> JobStep {
        if let Some(record) = self.executor.cache.unconfirmed_write(key) {
            return JobStep::RetryWrite(Box::new(record));
        }
        let since = state.effect_sent_at.get(key).copied();
        let limit = self.executor.settings.silence_limit();
        let gang = self
            .executor
            .reports
            .gang_view(&stored.record, since, held.epoch, limit);
        next_step(&stored.record, &gang, now)
    }

    fn plan(
        &self,
        state: &mut SchedulingState,
        steps: &mut JoinSet<Option<StepOutcome>>,
        config: &Configuration,
        data_centre: &DataCentre,
        held: HeldLease,
    ) {
        let records = self.executor.cache.records();
        let now = Instant::now();
        let queued = records.values().any(|job| job.state == JobState::Queued);
        if !queued && state.next_idle_plan_at.is_some_and(|at| at > now) {
            return;
        }
        state.next_idle_plan_at = Some(now + IDLE_PLAN_INTERVAL);
        let interval = PollSchedule::observation_interval(data_centre.workers().count());
        let silence = interval * 2 + USABLE_SILENCE_MARGIN;
        let usable = |worker: &WorkerId| {
            self.table.contains(worker) && self.executor.reports.is_usable(worker, silence)
        };
        let unavailable = data_centre.workers().map(|worker| &worker.id);
        let unavailable = unavailable.filter(|worker| !usable(worker)).cloned();
        let has_pending_step =
            |key: &JobKey| records[key].state == JobState::Queued && !state.may_step(key);
        let mut snapshot = Snapshot::new(data_centre.clone(), config.organisations.clone());
        snapshot.unavailable = unavailable.collect();
        let statistics = self.executor.statistics.current();
        snapshot.quarantined = statistics.health.quarantined(Timestamp::now());
        snapshot
            .unavailable
            .extend(snapshot.quarantined.iter().cloned());
        snapshot.usage = statistics.usage;
        snapshot.corrections = statistics.corrections;
        snapshot.jobs = records
            .iter()
            .filter(|(key, _)| !has_pending_step(key))
            .map(|(key, record)| (key.clone(), record.clone()))
            .collect();
        self.metrics.observe(&snapshot, held.epoch);
        for action in plan(&snapshot, Timestamp::now()) {
            self.apply_action(action, state, steps);
        }
    }

    fn apply_action(
        &self,
        action: Action,
        state: &mut SchedulingState,
        steps: &mut JoinSet<Option<StepOutcome>>,
    ) {
        let (key, step) = match action {
            Action::Start { job, placement } => {
                self.metrics.placements.add(1, &[]);
                (job, JobStep::Start(placement))
            }
            Action::Stop {
                job,
                reason,
                checkpoint,
                checkpoint_until,
            } => {
                let step = stop_step(&reason, checkpoint.then_some(checkpoint_until));
                if state.may_step(&job) {
                    self.record_reclaim(&job, &reason);
                }
                (job, step)
            }
            Action::Retire { job, reason } => {
                let step = JobStep::Finish {
                    state: JobState::Failed,
                    reason,
                };
                (job, step)
            }
        };
        if state.may_step(&key) {
            self.spawn_step(key, step, state, steps);
        }
    }

    fn record_reclaim(&self, job: &JobKey, reason: &StopReason) {
        if let StopReason::Reclaim { claimant } = reason {
            self.metrics.reclaims.add(1, &[]);
            self.executor.audit.record(AuditEvent::JobReclaimed {
                organisation: job.organisation.clone(),
                job: job.job.clone(),
                claimant: claimant.clone(),
            });
        }
    }

    fn spawn_step(
        &self,
        key: JobKey,
        step: JobStep,
        state: &mut SchedulingState,
        steps: &mut JoinSet<Option<StepOutcome>>,
    ) {
        if steps.len() >= MAX_CONCURRENT_STEPS {
            return;
        }
        state.in_flight.insert(key.clone());
        let executor = self.executor.clone();
        steps.spawn(async move { Some(executor.run(key, step).await) });
    }

    /// Stops orphaned tasks: those that hold accelerators although no record names them.
    ///
    /// Tasks of a job with a step in flight are spared, since the cached record may be out of date.
    fn stop_orphans(&self, state: &mut SchedulingState, steps: &mut JoinSet<Option<StepOutcome>>) {
        let now = Instant::now();
        state.orphan_retry_at.retain(|_, until| *until > now);
        let records = self.executor.cache.holding();
        let is_named = |worker: &WorkerId, task: &TaskReport| {
            let key = JobKey {
                organisation: task.organisation.clone(),
                job: task.job.clone(),
            };
            let in_record = records.get(&key).is_some_and(|stored| {
                task_id(&stored.record, worker).is_ok_and(|id| id == task.task)
            });
            in_record || state.in_flight.contains(&key)
        };
        for (worker, tasks) in self.executor.reports.orphans(is_named) {
            if state.orphan_retry_at.contains_key(&worker) {
                continue;
            }
            warn!(
                "scheduler: stopping {} tasks on {worker} that no job record names",
                tasks.len()
            );
            state
                .orphan_retry_at
                .insert(worker.clone(), now + ORPHAN_RETRY_DELAY);
            let executor = self.executor.clone();
            steps.spawn(async move {
                executor.stop_orphans(worker, tasks).await;
                None
            });
        }
    }
}

fn stop_step(reason: &StopReason, checkpoint_until: Option<Timestamp>) -> JobStep {
    JobStep::BeginStop {
        note: StopNote {
            checkpoint_until: checkpoint_until.unwrap_or(Timestamp(0)),
            ..StopNote::immediate(Timestamp::now())
        },
        reason: format!("stopped: {reason}"),
        reclaim: matches!(reason, StopReason::Reclaim { .. }),
    }
}
