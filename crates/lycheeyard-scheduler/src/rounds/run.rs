use super::SchedulingState;
use crate::{
    metrics::SchedulerMetrics,
    steps::{Executor, JobStep, StepOutcome},
    workers::WorkerTable,
};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::Epoch;
use lycheeyard_state::Configuration;
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

/// The longest wait for a change between two rounds, after `MIN_ROUND_GAP`.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
const MIN_ROUND_GAP: Duration = Duration::from_millis(100);

const MAX_CONCURRENT_STEPS: usize = 64;
const CHARGE_INTERVAL: Duration = Duration::from_secs(10);
const STATISTICS_SYNC_DELAY: Duration = Duration::from_secs(2);

/// The scheduling loop: while the lease is held, each round plans and starts the resulting steps.
#[derive(Debug)]
pub struct Rounds<S, W> {
    pub(super) executor: Arc<Executor<S, W>>,
    pub(super) table: WorkerTable,
    config: watch::Receiver<Arc<Configuration>>,
    config_epoch: watch::Receiver<Option<Epoch>>,
    pub(super) metrics: SchedulerMetrics,
}

impl<S: Store, W: Workers> Rounds<S, W> {
    /// Creates a loop that runs its steps on the given executor.
    #[must_use]
    pub fn new(
        executor: Executor<S, W>,
        table: WorkerTable,
        config: watch::Receiver<Arc<Configuration>>,
        config_epoch: watch::Receiver<Option<Epoch>>,
    ) -> Self {
        Self {
            executor: Arc::new(executor),
            table,
            config,
            config_epoch,
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
        // An older configuration than the previous scheduler's may lack an evacuation that was in force already.
        if *self.config_epoch.borrow() != Some(held.epoch) {
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

    /// Starts a step of a job, unless as many steps as allowed are in flight.
    pub(super) fn spawn_step(
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
}
