use super::{JobKey, Snapshot};
use crate::grid::{Block, Layout};
use lycheeyard_protocol::{JobRecord, JobState, Preemption, Priority, Timestamp};
use std::time::Duration;

/// The run time that a job loses whenever it starts again from a checkpoint.
const RESTART: Duration = Duration::from_secs(60);
/// A job that started less than this ago is not stopped for an overrun or a move.
const SETTLED: Duration = Duration::from_secs(15 * 60);
const SHORTEST_REST: Duration = Duration::from_secs(30);

/// A job that holds accelerators.
#[derive(Clone, Debug)]
pub(super) struct Running<'a> {
    pub(super) key: &'a JobKey,
    pub(super) record: &'a JobRecord,
    pub(super) block: Block,
    /// Whether it is a guaranteed job inside its organisation's own guaranteed shapes.
    pub(super) counted: bool,
    /// When it is expected to give its accelerators up.
    pub(super) ends_at: Timestamp,
    /// Whether it has run for longer than even a late estimate.
    pub(super) overran: bool,
}

impl<'a> Running<'a> {
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
        let rest = correction.expected(declared).saturating_sub(progress);
        let rest = rest.max(progress / 3).max(SHORTEST_REST);
        let ends_at = if record.state == JobState::Stopping {
            now.after(snapshot.checkpoint_grace())
        } else {
            now.after(rest)
        };
        Some(Self {
            key,
            record,
            block: Block::of(placement, layout),
            counted: false,
            ends_at,
            overran: progress > correction.late(declared) && is_settled(record, now),
        })
    }

    /// Whether the scheduler may stop it for the sake of others.
    pub(super) fn may_stop(&self) -> bool {
        self.record.state == JobState::Running
            && !self.counted
            && self.record.spec.preemption != Preemption::Never
    }

    /// Whether it is guaranteed work that its own organisation's urgent jobs may stop.
    pub(super) fn is_own_work(&self) -> bool {
        self.record.state == JobState::Running
            && self.counted
            && self.record.spec.priority != Priority::Urgent
            && self.record.spec.preemption != Preemption::Never
    }

    /// The accelerator time, in milliseconds, that is lost when it is stopped now.
    ///
    /// Earlier reclaims raise the cost, so that no job is stopped again and again while others run.
    pub(super) fn stop_cost(&self, now: Timestamp) -> u64 {
        let lost = match self.record.spec.preemption {
            Preemption::Checkpoint => RESTART,
            Preemption::Stop | Preemption::Never => RESTART + progress(self.record, now),
        };
        let lost = u64::try_from(lost.as_millis()).unwrap_or(u64::MAX);
        lost.saturating_mul(u64::from(self.block.total()))
            .saturating_mul(1 + u64::from(self.record.reclaims))
    }
}

/// Whether a job has run for long enough since its last start that stopping it again is no thrashing.
pub(super) fn is_settled(record: &JobRecord, now: Timestamp) -> bool {
    let started = record.started_at.unwrap_or(now);
    now.since(started) > SETTLED
}

/// The run time that a job has behind it, counted from its first start.
pub(super) fn progress(record: &JobRecord, now: Timestamp) -> Duration {
    let kept = Duration::from_millis(record.checkpoint_ms);
    record
        .started_at
        .map_or(kept, |started| kept + now.since(started))
}

/// The run time that a waiting job is expected to need once it starts.
pub(super) fn expected_rest(snapshot: &Snapshot, record: &JobRecord) -> Duration {
    let declared = Duration::from_millis(record.spec.run_time_ms);
    let correction = snapshot.correction(&record.spec.organisation);
    let kept = Duration::from_millis(record.checkpoint_ms);
    let rest = correction.expected(declared).saturating_sub(kept);
    rest.max(kept / 3).max(SHORTEST_REST)
}
