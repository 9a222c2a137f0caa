use super::WorkerEntry;
use crate::BootTime;
use strum::Display;

/// Why a worker receives no new runs.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum WorkerExclusion {
    /// It is not in the current list of workers.
    Unlisted,
    /// It has announced that it leaves, or its machine is about to be taken down for maintenance.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// A report has to show first that its present incarnation is there, and the stored record of silent workers that it is not silent.
    Unreported,
    /// Its last report is too old.
    Silent,
    /// Runs failed on it, or made no progress. Steps that are kept from other room start there all the same.
    Quarantined,
    /// It has refused a start for lack of room.
    Full,
}

impl WorkerEntry {
    /// Returns why the worker receives no new runs; `None` if new runs may be placed on it.
    pub fn exclusion(&self, now: BootTime) -> Option<WorkerExclusion> {
        if !self.is_listed {
            Some(WorkerExclusion::Unlisted)
        } else if self.is_leaving() {
            Some(WorkerExclusion::Leaving)
        } else if self.is_evacuated {
            Some(WorkerExclusion::Evacuated)
        } else if !self.has_reported || self.is_recorded_silent {
            Some(WorkerExclusion::Unreported)
        } else if self.is_unresponsive(now) {
            Some(WorkerExclusion::Silent)
        } else if !self.full_until.is_past(now) {
            Some(WorkerExclusion::Full)
        } else if !self.quarantined_until.is_past(now) {
            Some(WorkerExclusion::Quarantined)
        } else {
            None
        }
    }
}
