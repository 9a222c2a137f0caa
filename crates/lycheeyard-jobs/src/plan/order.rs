use super::unit::Unit;
use lycheeyard_protocol::{JobId, Timestamp};
use std::cmp::Reverse;

/// Where a unit stands among those that wait; lower comes first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Units that can no longer be of use come last.
    is_useless: bool,
    is_borrowing: Reverse<bool>,
    priority: u32,
    /// Units that can still be in time come before those that cannot.
    is_late: bool,
    start_by: Timestamp,
    job: JobId,
    occurrence: u32,
    step: usize,
}

impl Rank {
    pub fn of(unit: &Unit, now: Timestamp) -> Self {
        Self {
            is_useless: unit.is_useless(now),
            is_borrowing: Reverse(unit.is_guaranteed),
            priority: unit.priority,
            is_late: unit.is_late(now),
            start_by: unit.start_by,
            job: unit.key.job.clone(),
            occurrence: unit.key.occurrence,
            step: unit.key.step,
        }
    }
}
