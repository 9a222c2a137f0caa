use super::{Rounds, SchedulingState};
use crate::{gang::task_id, steps::StepOutcome};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::{WorkerId, platform::TaskReport};
use std::time::Duration;
use tokio::{task::JoinSet, time::Instant};
use tracing::warn;

const ORPHAN_RETRY_DELAY: Duration = Duration::from_secs(1);

impl<S: Store, W: Workers> Rounds<S, W> {
    /// Stops orphaned tasks: those that hold accelerators although no record names them.
    ///
    /// Tasks of a job with a step in flight are spared, since the cached record may be out of date, and those of a job whose record cannot
    /// be read.
    pub(super) fn stop_orphans(
        &self,
        state: &mut SchedulingState,
        steps: &mut JoinSet<Option<StepOutcome>>,
    ) {
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
            let cache = &self.executor.cache;
            in_record || state.in_flight.contains(&key) || cache.is_unreadable(&key)
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
