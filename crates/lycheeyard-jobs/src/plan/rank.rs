use super::pending_step::PendingStep;
use lycheeyard_protocol::{JobId, Timestamp};
use std::cmp::Reverse;

/// The position of a step in the placement order; the lowest is placed first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Steps whose result is no longer of use come last.
    is_expired: bool,
    is_guaranteed: Reverse<bool>,
    priority: u32,
    /// Steps that can still meet their objective come before those that cannot.
    is_late: bool,
    start_by: Timestamp,
    job: JobId,
    occurrence: u32,
    step: usize,
}

impl Rank {
    pub fn new(pending: &PendingStep, now: Timestamp) -> Self {
        Self {
            is_expired: pending.is_expired(now),
            is_guaranteed: Reverse(pending.is_guaranteed),
            priority: pending.priority,
            is_late: pending.is_late(now),
            start_by: pending.start_by,
            job: pending.key.job.clone(),
            occurrence: pending.key.occurrence,
            step: pending.key.step,
        }
    }
}
