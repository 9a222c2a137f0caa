use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counters of the requests that a runner has received.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunnerCounts {
    /// Requests started, including those that waited for a slot.
    pub begun: u64,
    /// Requests that run or wait for a slot now.
    pub running: u32,
    /// The maximum number of requests that ran or waited for a slot at once.
    pub peak: u32,
    /// Requests that arrived while all slots were in use.
    pub over_slots: u64,
    /// Number of executions by idempotency key.
    pub by_key: BTreeMap<String, u32>,
}
