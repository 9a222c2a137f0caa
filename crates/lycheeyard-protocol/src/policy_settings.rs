use crate::Percent;
use serde::{Deserialize, Serialize};

const CHECKPOINT_GRACE_MS: u64 = 2_000;
const URGENT_LIMIT_MS: u64 = 3_400;
const LONGEST_WAIT_MS: u64 = 6 * 60 * 60 * 1_000;

/// The scheduling policy of a data centre; part of the data centre's ticket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// The weight of low fragmentation relative to short completion time; 0 considers completion time only.
    pub fragmentation_weight: Percent,
    /// The share of each lent guaranteed shape that is open only to work that stops within the urgent limit.
    pub urgent_reserve: Percent,
    /// The time, in milliseconds, within which urgent work must start.
    pub urgent_limit_ms: u64,
    /// The time, in milliseconds, that a job gets to write a checkpoint before it is stopped.
    pub checkpoint_grace_ms: u64,
    /// The wait, in milliseconds, after which a job precedes every other job without a guarantee.
    pub longest_wait_ms: u64,
    /// Whether smaller jobs may start before a larger waiting one.
    pub backfill: bool,
    /// Whether running jobs are moved to make room for a larger one.
    pub defragmentation: bool,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            fragmentation_weight: Percent(30),
            urgent_reserve: Percent(25),
            urgent_limit_ms: URGENT_LIMIT_MS,
            checkpoint_grace_ms: CHECKPOINT_GRACE_MS,
            longest_wait_ms: LONGEST_WAIT_MS,
            backfill: true,
            defragmentation: true,
        }
    }
}

impl PolicySettings {
    /// Whether every field has its default value.
    #[must_use]
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }
}
