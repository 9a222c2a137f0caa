use crate::BootTime;
use std::collections::BTreeMap;

/// Hosts that are drained for a step until enough runs on them have ended. Shorter tasks may backfill them.
#[derive(Clone, Debug)]
pub(super) struct Drain {
    /// The number of tasks of the step for which each host is drained, by host index.
    pub slots: BTreeMap<usize, u32>,
    /// When the step is expected to start.
    pub starts_at: BootTime,
}
