use super::Memory;
use crate::{
    SchedulerStatus,
    gang::task_id,
    metrics::SchedulerMetrics,
    steps::{Executor, JobStep, Settled, next_step},
    workers::{PollSchedule, WorkerTable},
};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_policy::{Action, JobKey, Snapshot, StopReason, plan};
use lycheeyard_protocol::{
    AuditEvent, DataCentre, JobState, StopNote, Timestamp, WorkerId, platform::TaskReport,
};
use lycheeyard_state::{Configuration, HeldLease, StoredJob};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// A round at least this often, and sooner after a change.
const ROUND_EVERY: Duration = Duration::from_millis(200);
const MIN_GAP: Duration = Duration::from_millis(100);

/// A plan at least this often while no job is queued.
const IDLE_PLAN_EVERY: Duration = Duration::from_secs(1);
const MAX_STEPS: usize = 64;
const CHARGE_EVERY: Duration = Duration::from_secs(10);
const BOOK_PAUSE: Duration = Duration::from_secs(2);
const ORPHAN_PAUSE: Duration = Duration::from_secs(1);

/// The ends of queued jobs that one round writes, so that a wave of cancellations leaves the store room.
const MAX_CLOSES: usize = 8;

/// Added to two observation intervals, this is the silence after which a worker gets no new tasks.
const USABLE_SILENCE: Duration = Duration::from_millis(1500);

/// Plans round after round and runs the steps, while the lease is held.
#[derive(Debug)]
pub struct Rounds<S, W> {
    executor: Arc<Executor<S, W>>,
    table: WorkerTable,
    config: watch::Receiver<Arc<Configuration>>,
    metrics: SchedulerMetrics,
}

impl<S: Store, W: Workers> Rounds<S, W> {
    /// Makes the rounds over an executor.
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
        let mut memory = Memory::default();
        let mut steps = JoinSet::new();
        while !stop.is_cancelled() {
            self.round(&mut memory, &mut steps);
            tokio::time::sleep(MIN_GAP).await;
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(ROUND_EVERY) => {}
                () = self.executor.cache.changed() => {}
                () = self.executor.views.changed() => {}
                Some(Ok(settled)) = steps.join_next() => memory.settle(settled),
            }
            while let Some(Ok(settled)) = steps.try_join_next() {
                memory.settle(settled);
            }
        }
        while steps.join_next().await.is_some() {}
    }

    fn round(&self, memory: &mut Memory, steps: &mut JoinSet<Option<Settled>>) {
        let now = Instant::now();
        let Some(held) = valid(*self.executor.status.borrow(), now) else {
            return;
        };
        if memory.enter(held, now) {
            self.executor.book.unload();
        }
        let confirmed_at = self.executor.cache.confirmed_at();
        if confirmed_at < memory.taken_at {
            return;
        }
        let config = self.config.borrow().clone();
        let Some(data_centre) = config.data_centres.get(&self.executor.settings.data_centre) else {
            return;
        };
        for worker in data_centre.workers() {
            self.executor.views.note_asked(&worker.id);
        }
        memory.paused.retain(|_, until| *until > now);
        self.sync_book(memory, steps);
        if !self.executor.book.is_loaded() {
            return;
        }
        self.follow_up(memory, steps, held);
        self.plan(memory, steps, &config, data_centre, held);
        self.stop_orphans(memory, steps);
    }

    /// Charges usage, and loads or writes the book where that is due.
    fn sync_book(&self, memory: &mut Memory, steps: &mut JoinSet<Option<Settled>>) {
        let book = &self.executor.book;
        let now = Instant::now();
        let charge = memory.charge_at.is_none_or(|at| at <= now);
        if book.is_loaded() && charge {
            memory.charge_at = Some(now + CHARGE_EVERY);
            book.charge(self.executor.cache.records().values());
        }
        if book.is_due() && memory.book_until.is_none_or(|until| until <= now) {
            memory.book_until = Some(now + BOOK_PAUSE);
            let executor = self.executor.clone();
            steps.spawn(async move {
                executor.book.sync().await;
                None
            });
        }
    }

    /// Runs the steps that follow from the records and the workers' reports.
    fn follow_up(
        &self,
        memory: &mut Memory,
        steps: &mut JoinSet<Option<Settled>>,
        held: HeldLease,
    ) {
        let now = Timestamp::now();
        let mut closes = 0;
        for (key, stored) in self.executor.cache.jobs() {
            if !memory.is_free(&key) {
                continue;
            }
            let step = self.step_of(&key, &stored, memory, held, now);
            let close = stored.record.state == JobState::Queued;
            if step == JobStep::Wait || (close && closes == MAX_CLOSES) {
                continue;
            }
            closes += usize::from(close);
            self.spawn(key, step, memory, steps);
        }
    }

    fn step_of(
        &self,
        key: &JobKey,
        stored: &StoredJob,
        memory: &Memory,
        held: HeldLease,
        now: Timestamp,
    ) -> JobStep {
        if let Some(record) = self.executor.cache.doubt(key) {
            return JobStep::Resolve(Box::new(record));
        }
        let since = memory.effects.get(key).copied();
        let limit = self.executor.settings.silence_limit();
        let gang = self
            .executor
            .views
            .gang(&stored.record, since, held.epoch, limit);
        next_step(&stored.record, &gang, now)
    }

    fn plan(
        &self,
        memory: &mut Memory,
        steps: &mut JoinSet<Option<Settled>>,
        config: &Configuration,
        data_centre: &DataCentre,
        held: HeldLease,
    ) {
        let records = self.executor.cache.records();
        let now = Instant::now();
        let queued = records.values().any(|job| job.state == JobState::Queued);
        if !queued && memory.idle_plan_at.is_some_and(|at| at > now) {
            return;
        }
        memory.idle_plan_at = Some(now + IDLE_PLAN_EVERY);
        let interval = PollSchedule::observe_every(data_centre.workers().count());
        let silence = interval * 2 + USABLE_SILENCE;
        let usable = |worker: &WorkerId| {
            self.table.contains(worker) && self.executor.views.is_usable(worker, silence)
        };
        let unavailable = data_centre.workers().map(|worker| &worker.id);
        let unavailable = unavailable.filter(|worker| !usable(worker)).cloned();
        let waits = |key: &JobKey| records[key].state == JobState::Queued && !memory.is_free(key);
        let mut snapshot = Snapshot::new(data_centre.clone(), config.organisations.clone());
        snapshot.unavailable = unavailable.collect();
        let book = self.executor.book.book();
        snapshot.quarantined = book.health.quarantined(Timestamp::now());
        snapshot
            .unavailable
            .extend(snapshot.quarantined.iter().cloned());
        snapshot.usage = book.usage;
        snapshot.corrections = book.corrections;
        snapshot.jobs = records
            .iter()
            .filter(|(key, _)| !waits(key))
            .map(|(key, record)| (key.clone(), record.clone()))
            .collect();
        self.metrics.observe(&snapshot, held.epoch);
        for action in plan(&snapshot, Timestamp::now()) {
            self.execute(action, memory, steps);
        }
    }

    fn execute(&self, action: Action, memory: &mut Memory, steps: &mut JoinSet<Option<Settled>>) {
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
                if memory.is_free(&job) {
                    self.record_reclaim(&job, &reason);
                }
                (job, step)
            }
            Action::Retire { job, reason } => {
                let state = JobState::Failed;
                (job, JobStep::Finish { state, reason })
            }
        };
        if memory.is_free(&key) {
            self.spawn(key, step, memory, steps);
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

    fn spawn(
        &self,
        key: JobKey,
        step: JobStep,
        memory: &mut Memory,
        steps: &mut JoinSet<Option<Settled>>,
    ) {
        if steps.len() >= MAX_STEPS {
            return;
        }
        memory.in_flight.insert(key.clone());
        let executor = self.executor.clone();
        steps.spawn(async move { Some(executor.run(key, step).await) });
    }

    /// Stops tasks that hold accelerators and that no record names.
    fn stop_orphans(&self, memory: &mut Memory, steps: &mut JoinSet<Option<Settled>>) {
        let now = Instant::now();
        memory.orphans_asked.retain(|_, until| *until > now);
        let records = self.executor.cache.holding();
        let named = |worker: &WorkerId, task: &TaskReport| {
            let key = JobKey {
                organisation: task.organisation.clone(),
                job: task.job.clone(),
            };
            let named = records.get(&key).is_some_and(|stored| {
                task_id(&stored.record, worker).is_ok_and(|named| named == task.task)
            });
            named || memory.in_flight.contains(&key)
        };
        for (worker, tasks) in self.executor.views.orphans(named) {
            if memory.orphans_asked.contains_key(&worker) {
                continue;
            }
            warn!(
                "scheduler: {} unnamed tasks on {worker} are stopped",
                tasks.len()
            );
            memory
                .orphans_asked
                .insert(worker.clone(), now + ORPHAN_PAUSE);
            let executor = self.executor.clone();
            steps.spawn(async move {
                executor.stop_orphans(worker, tasks).await;
                None
            });
        }
    }
}

fn valid(status: SchedulerStatus, now: Instant) -> Option<HeldLease> {
    status.held.filter(|held| held.valid_until > now)
}

fn stop_step(reason: &StopReason, checkpoint_until: Option<Timestamp>) -> JobStep {
    JobStep::BeginStop {
        note: StopNote {
            since: Timestamp::now(),
            checkpoint_until: checkpoint_until.unwrap_or(Timestamp(0)),
            checkpoint_ms: None,
            failed_on: BTreeSet::new(),
            never_started: false,
            lost: false,
        },
        reason: format!("stopped: {reason}"),
        reclaim: matches!(reason, StopReason::Reclaim { .. }),
    }
}
