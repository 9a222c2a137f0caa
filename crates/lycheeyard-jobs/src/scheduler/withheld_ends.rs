use super::JobScheduler;
use crate::{EndNumber, EndReport, WorkerKey};
use std::collections::BTreeMap;

/// The maximum number of ends after the first withheld one. A worker lists a limited number of ends at a time, so that further
/// ones would not be listed.
const MAX_ENDS_AFTER_WITHHELD: u64 = 300;

/// The first end on each incarnation of a worker that belongs to a job that is set aside. It is not acknowledged, so that the worker
/// lists it until a term that can read the job's record. As acknowledgements are cumulative, none after it is either.
#[derive(Clone, Debug, Default)]
pub(crate) struct WithheldEnds {
    first: BTreeMap<WorkerKey, EndNumber>,
    /// Incarnations whose ends are withheld no longer, and that have not been taken for logs.
    given_up: Vec<WorkerKey>,
}

impl WithheldEnds {
    /// Returns the last end to acknowledge to a worker; it would be `durable` if no end was withheld.
    pub fn last_before(&self, worker: &WorkerKey, durable: EndNumber) -> EndNumber {
        let first = self.first.get(worker);
        first.map_or(durable, |first| durable.min(EndNumber(first.0 - 1)))
    }

    /// Keeps only what concerns the incarnations for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&WorkerKey) -> bool) {
        self.first.retain(|worker, _| is_kept(worker));
    }

    fn add(&mut self, worker: &WorkerKey, end: EndNumber) {
        let first = self.first.entry(worker.clone()).or_insert(end);
        *first = end.min(*first);
    }

    /// Withholds the ends of a worker no longer if so many others follow that new ones might not be listed.
    fn give_up_if_many_follow(&mut self, worker: &WorkerKey, last: EndNumber) {
        let first = self.first.get(worker);
        if first.is_some_and(|first| last.0 > first.0 + MAX_ENDS_AFTER_WITHHELD) {
            self.first.remove(worker);
            self.given_up.push(worker.clone());
        }
    }
}

impl JobScheduler {
    /// Takes the incarnations of workers to which withheld ends are acknowledged, since too many other ends followed them.
    pub fn take_given_up_ends(&mut self) -> Vec<WorkerKey> {
        std::mem::take(&mut self.withheld_ends.given_up)
    }

    /// Withholds the acknowledgement of a run end if its job is set aside.
    pub(super) fn withhold_if_set_aside(&mut self, worker: &WorkerKey, end: &EndReport) {
        if self.jobs_set_aside.contains(&end.task.step.job) {
            self.withheld_ends.add(worker, end.number);
        }
    }

    /// Withholds the ends of a worker no longer if so many others follow that new ones might not be listed.
    pub(super) fn limit_withheld_ends(&mut self, worker: &WorkerKey) {
        let last = self.recorded_end(worker);
        self.withheld_ends.give_up_if_many_follow(worker, last);
    }
}
