use super::{RESTART_OVERHEAD_MS, Simulator, job_key};
use lycheeyard_protocol::{JobRecord, JobState, Placement, Preemption, WorkerId};
use std::time::Duration;

/// What happens to jobs between the rounds of the planner.
impl Simulator<'_> {
    pub(super) fn submit(&mut self, number: usize) {
        let job = &self.trace.jobs[number];
        let record = JobRecord::submitted(job.spec.clone(), job.submitted_at);
        self.snapshot.jobs.insert(job_key(job), record);
    }

    /// The record of a job, if the given attempt still holds accelerators.
    fn current_attempt(&mut self, number: usize, attempt: u32) -> Option<JobRecord> {
        let record = self.snapshot.jobs.get(&job_key(&self.trace.jobs[number]))?;
        let holds_accelerators = record.state.holds_accelerators() && record.attempts == attempt;
        holds_accelerators.then(|| record.clone())
    }

    pub(super) fn end_job(&mut self, number: usize, attempt: u32) {
        let Some(record) = self.current_attempt(number, attempt) else {
            return;
        };
        self.charge_usage(&record);
        let job = &self.trace.jobs[number];
        let organisation = job.spec.organisation.clone();
        let declared = Duration::from_millis(job.spec.run_time_ms);
        let actual = Duration::from_millis(job.actual_ms);
        let correction = self.snapshot.correction(&organisation);
        let correction = correction.observe(declared, actual);
        self.snapshot.corrections.insert(organisation, correction);
        self.outcome.logs[number].ended_at = Some(self.now);
        self.snapshot.jobs.remove(&job_key(job));
    }

    pub(super) fn finish_stop(&mut self, number: usize, attempt: u32, grace: Duration) {
        let Some(mut record) = self.current_attempt(number, attempt) else {
            return;
        };
        self.charge_usage(&record);
        let job = &self.trace.jobs[number];
        let elapsed_ms = self.elapsed_ms(&record);
        let write_time = Duration::from_millis(job.checkpoint_write_ms);
        let is_saved = job.spec.preemption == Preemption::Checkpoint && write_time <= grace;
        let overhead_ms = if record.checkpoint_ms > 0 {
            RESTART_OVERHEAD_MS
        } else {
            0
        };
        let kept_ms = if is_saved {
            elapsed_ms.saturating_sub(overhead_ms)
        } else {
            0
        };
        record.checkpoint_ms += kept_ms;
        let log = &mut self.outcome.logs[number];
        log.wasted_ms += (elapsed_ms - kept_ms) * u64::from(job.spec.shape.total());
        log.stops += 1;
        record.state = JobState::Queued;
        record.placement = None;
        record.started_at = None;
        self.snapshot.jobs.insert(job_key(job), record);
    }

    pub(super) fn mark_worker_lost(&mut self, worker: &WorkerId) {
        self.snapshot.unavailable.insert(worker.clone());
        let affected: Vec<(usize, u32)> = self
            .snapshot
            .jobs
            .iter()
            .filter(|(_, record)| uses_worker(record.placement.as_ref(), worker))
            .map(|(key, record)| (self.numbers[key], record.attempts))
            .collect();
        for (number, attempt) in affected {
            self.finish_stop(number, attempt, Duration::ZERO);
        }
    }

    /// Adds the accelerator time of an attempt to the usage of its organisation.
    fn charge_usage(&mut self, record: &JobRecord) {
        let organisation = record.spec.organisation.clone();
        let used = Duration::from_millis(self.elapsed_ms(record));
        let usage = self.snapshot.usage.get(&organisation).copied();
        let usage = usage.unwrap_or_default();
        let usage = usage.add(record.spec.shape.total(), used, self.now);
        self.snapshot.usage.insert(organisation, usage);
    }

    fn elapsed_ms(&self, record: &JobRecord) -> u64 {
        self.now.0 - record.started_at.map_or(self.now.0, |at| at.0)
    }
}

fn uses_worker(placement: Option<&Placement>, worker: &WorkerId) -> bool {
    placement.is_some_and(|placement| {
        let mut allocations = placement.allocations.iter();
        allocations.any(|allocation| allocation.worker == *worker)
    })
}
