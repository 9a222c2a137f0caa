use crate::{RunNumber, TaskKey};

/// How soon the record of a job with planned starts is to be written; the first comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StartUrgency {
    /// A guarantee covers a start.
    Guaranteed,
    /// A start has priority 0.
    Urgent,
    Ordinary,
}

/// The runs of a job that may be started once its record is durable.
#[derive(Clone, Debug)]
pub(crate) struct PlannedStarts {
    /// The highest urgency of the starts.
    pub urgency: StartUrgency,
    pub runs: Vec<(TaskKey, RunNumber)>,
}

impl PlannedStarts {
    pub fn new(urgency: StartUrgency) -> Self {
        Self {
            urgency,
            runs: Vec::new(),
        }
    }

    /// Adds runs that were planned together.
    pub fn add(&mut self, urgency: StartUrgency, runs: Vec<(TaskKey, RunNumber)>) {
        self.urgency = self.urgency.min(urgency);
        self.runs.extend(runs);
    }
}
