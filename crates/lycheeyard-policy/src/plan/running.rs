use super::{JobKey, Snapshot};
use crate::grid::{Block, Layout};
use lycheeyard_protocol::{JobRecord, JobState, Preemption, Priority, Timestamp};
use std::time::Duration;

/// Run time that a job loses whenever it restarts from a checkpoint.
const RESTART_COST: Duration = Duration::from_secs(60);
/// Minimum time from a job's start until it may be stopped for an overrun or a move.
const MIN_RUN_BEFORE_STOP: Duration = Duration::from_secs(15 * 60);
const MIN_REMAINING: Duration = Duration::from_secs(30);

/// A job that holds accelerators.
#[derive(Clone, Debug)]
pub(super) struct RunningJob<'a> {
    pub(super) key: &'a JobKey,
    pub(super) record: &'a JobRecord,
    pub(super) block: Block,
    /// Whether it is a guaranteed job that runs within its own organisation's guarantees.
    pub(super) is_within_guarantee: bool,
    /// When it is expected to release its accelerators.
    pub(super) expected_end: Timestamp,
    /// Whether it has run for longer than even the late estimate.
    pub(super) has_overrun: bool,
}

impl<'a> RunningJob<'a> {
    pub(super) fn new(
        snapshot: &'a Snapshot,
        layout: &Layout<'_>,
        key: &'a JobKey,
        record: &'a JobRecord,
        now: Timestamp,
    ) -> Option<Self> {
        let placement = record.placement.as_ref()?;
        let progress = progress(record, now);
        let declared = Duration::from_millis(record.spec.run_time_ms);
        let correction = snapshot.correction(&key.organisation);
        let remaining = correction.expected(declared).saturating_sub(progress);
        let remaining = remaining.max(progress / 3).max(MIN_REMAINING);
        let expected_end = if record.state == JobState::Stopping {
            now.after(snapshot.checkpoint_grace())
        } else {
            now.after(remaining)
        };
        Some(Self {
            key,
            record,
            block: Block::from_placement(placement, layout),
            is_within_guarantee: false,
            expected_end,
            has_overrun: progress > correction.late_estimate(declared)
                && has_run_long_enough(record, now),
        })
    }

    /// Whether the scheduler may stop it in favour of other jobs.
    pub(super) fn is_preemptible(&self) -> bool {
        self.record.state == JobState::Running
            && !self.is_within_guarantee
            && self.record.spec.preemption != Preemption::Never
    }

    /// Whether it is guaranteed work that its own organisation's urgent jobs may stop.
    pub(super) fn is_preemptible_by_own_urgent(&self) -> bool {
        self.record.state == JobState::Running
            && self.is_within_guarantee
            && self.record.spec.priority != Priority::Urgent
            && self.record.spec.preemption != Preemption::Never
    }

    /// The cost of stopping it now: the accelerator time that is lost, in milliseconds, times 1 + earlier reclaims.
    ///
    /// Earlier reclaims raise the cost, so that no job is stopped repeatedly while others keep running.
    pub(super) fn stop_cost(&self, now: Timestamp) -> u64 {
        let lost = match self.record.spec.preemption {
            Preemption::Checkpoint => RESTART_COST,
            Preemption::Stop | Preemption::Never => RESTART_COST + progress(self.record, now),
        };
        let lost = u64::try_from(lost.as_millis()).unwrap_or(u64::MAX);
        lost.saturating_mul(u64::from(self.block.total()))
            .saturating_mul(1 + u64::from(self.record.reclaims))
    }
}

/// Whether a job has run for long enough since its last start that stopping it again does not cause thrashing.
pub(super) fn has_run_long_enough(record: &JobRecord, now: Timestamp) -> bool {
    let started = record.started_at.unwrap_or(now);
    now.since(started) > MIN_RUN_BEFORE_STOP
}

/// The run time that a job has completed: the part that its checkpoint preserves plus the time since its last start.
pub(super) fn progress(record: &JobRecord, now: Timestamp) -> Duration {
    let checkpointed = Duration::from_millis(record.checkpoint_ms);
    record
        .started_at
        .map_or(checkpointed, |started| checkpointed + now.since(started))
}

/// The run time that a waiting job is expected to still need once it starts.
pub(super) fn expected_remaining(snapshot: &Snapshot, record: &JobRecord) -> Duration {
    let declared = Duration::from_millis(record.spec.run_time_ms);
    let correction = snapshot.correction(&record.spec.organisation);
    let checkpointed = Duration::from_millis(record.checkpoint_ms);
    let remaining = correction.expected(declared).saturating_sub(checkpointed);
    remaining.max(checkpointed / 3).max(MIN_REMAINING)
}
