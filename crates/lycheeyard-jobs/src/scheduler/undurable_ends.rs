use crate::{EndNumber, WorkerKey};
use std::collections::{BTreeMap, BTreeSet};

/// Reported run ends whose records are not durable yet, by incarnation. They outlive the entries of workers, since an incarnation
/// that was taken as replaced may report again, with the same ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct UndurableEnds {
    ends: BTreeMap<WorkerKey, BTreeSet<EndNumber>>,
}

impl UndurableEnds {
    /// Adds an end of an incarnation of a worker.
    pub fn add(&mut self, worker: &WorkerKey, end: EndNumber) {
        self.ends.entry(worker.clone()).or_default().insert(end);
    }

    /// Removes an end whose record is durable.
    pub fn remove(&mut self, worker: &WorkerKey, end: EndNumber) {
        let Some(ends) = self.ends.get_mut(worker) else {
            return;
        };
        ends.remove(&end);
        if ends.is_empty() {
            self.ends.remove(worker);
        }
    }

    /// Whether an incarnation has reported an end whose record is not durable.
    pub fn has_any(&self, worker: &WorkerKey) -> bool {
        self.ends.contains_key(worker)
    }

    /// Returns the last end to acknowledge to a worker; it would be `recorded` if all were durable.
    pub fn last_before(&self, worker: &WorkerKey, recorded: EndNumber) -> EndNumber {
        let first = self.ends.get(worker).and_then(BTreeSet::first);
        first.map_or(recorded, |first| recorded.min(first.previous()))
    }
}
