use super::{Rounds, SchedulingState};
use crate::steps::{JobStep, StepOutcome, next_step};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::{JobState, Timestamp};
use lycheeyard_state::{HeldLease, StoredJob};
use tokio::task::JoinSet;

/// How many cancelled queued jobs one round ends. The limit keeps a burst of cancellations from saturating the store.
const MAX_QUEUED_ENDS_PER_ROUND: usize = 8;

impl<S: Store, W: Workers> Rounds<S, W> {
    /// Starts the steps that follow from the records and the workers' reports alone, without a plan.
    pub(super) fn spawn_follow_ups(
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
}
