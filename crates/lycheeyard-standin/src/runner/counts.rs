use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a runner has seen.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunnerCounts {
    /// Requests that have begun to run.
    pub begun: u64,
    /// Requests running now.
    pub running: u32,
    /// The most requests that ran or waited at once.
    pub peak: u32,
    /// Requests that found all slots taken.
    pub over_slots: u64,
    /// How often each idempotency key was run.
    pub by_key: BTreeMap<String, u32>,
}
