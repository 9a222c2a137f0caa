use super::{
    Event, InvariantError, RESTART_OVERHEAD_MS, STOP_CONFIRMATION, Simulator, check_start,
    check_stop,
};
use lycheeyard_policy::{Action, JobKey, StopReason};
use lycheeyard_protocol::{JobState, Placement, Preemption, Timestamp};
use std::time::Duration;

impl Simulator<'_> {
    pub(super) fn execute(&mut self, action: Action) -> Result<(), InvariantError> {
        self.outcome.actions.push((self.now, action.clone()));
        match action {
            Action::Start { job, placement } => self.start(&job, placement),
            Action::Stop {
                job,
                reason,
                checkpoint_until,
                ..
            } => self.stop(&job, reason, checkpoint_until),
            Action::Retire { job, .. } => self.retire(&job),
        }
    }

    pub(super) fn job_in_state(
        &self,
        job: &JobKey,
        state: JobState,
    ) -> Result<usize, InvariantError> {
        let record = self.snapshot.jobs.get(job);
        match (record, self.numbers.get(job)) {
            (Some(record), Some(number)) if record.state == state => Ok(*number),
            _ => Err(InvariantError::WrongState(job.clone())),
        }
    }

    pub(super) fn start(
        &mut self,
        job: &JobKey,
        placement: Placement,
    ) -> Result<(), InvariantError> {
        let number = self.job_in_state(job, JobState::Queued)?;
        check_start(&self.snapshot, job, &placement)?;
        let mut record = self.snapshot.jobs[job].clone();
        record.state = JobState::Running;
        record.placement = Some(placement);
        record.started_at = Some(self.now);
        record.attempts += 1;
        let overhead_ms = if record.checkpoint_ms > 0 {
            RESTART_OVERHEAD_MS
        } else {
            0
        };
        let remaining_ms = self.trace.jobs[number]
            .actual_ms
            .saturating_sub(record.checkpoint_ms);
        let ends_at = self
            .now
            .after(Duration::from_millis(remaining_ms + overhead_ms));
        self.schedule(ends_at, Event::JobEnded(number, record.attempts));
        let log = &mut self.outcome.logs[number];
        log.first_start = log.first_start.or(Some(self.now));
        if record.spec.guaranteed
            && let Some(reclaimed_at) = self.pending_reclaims.remove(&job.organisation)
        {
            self.outcome.reclaims.push(self.now.since(reclaimed_at));
        }
        self.snapshot.jobs.insert(job.clone(), record);
        Ok(())
    }

    pub(super) fn stop(
        &mut self,
        job: &JobKey,
        reason: StopReason,
        until: Timestamp,
    ) -> Result<(), InvariantError> {
        let number = self.job_in_state(job, JobState::Running)?;
        check_stop(&self.snapshot, job)?;
        let mut record = self.snapshot.jobs[job].clone();
        record.state = JobState::Stopping;
        if let StopReason::Reclaim { claimant } = reason {
            record.reclaims += 1;
            self.pending_reclaims.entry(claimant).or_insert(self.now);
        }
        let grace = until.since(self.now);
        let write_time_needed = Duration::from_millis(self.trace.jobs[number].checkpoint_write_ms);
        let write_time = match record.spec.preemption {
            Preemption::Checkpoint => grace.min(write_time_needed),
            Preemption::Stop | Preemption::Never => Duration::ZERO,
        };
        let stopped = Event::JobStopped(number, record.attempts, grace);
        self.schedule(self.now.after(write_time + STOP_CONFIRMATION), stopped);
        self.snapshot.jobs.insert(job.clone(), record);
        Ok(())
    }

    pub(super) fn retire(&mut self, job: &JobKey) -> Result<(), InvariantError> {
        let number = self.job_in_state(job, JobState::Queued)?;
        self.snapshot.jobs.remove(job);
        self.outcome.logs[number].retired = true;
        Ok(())
    }
}
