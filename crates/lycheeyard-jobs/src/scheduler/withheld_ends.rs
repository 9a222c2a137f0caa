use super::JobScheduler;
use crate::{EndNumber, EndReport, WorkerKey, WorkerReport};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of ends after the first withheld one. A worker lists a limited number of ends at a time, so that further
/// ones would not be listed.
const MAX_ENDS_AFTER_WITHHELD: u64 = 300;

/// The ends on each incarnation of a worker that cannot be recorded: they belong to a job that is set aside, or their rows could not
/// be read. They are not acknowledged, so that the worker lists them until a report or a term that can read them. As
/// acknowledgements are cumulative, none after the first is either.
#[derive(Clone, Debug, Default)]
pub(crate) struct WithheldEnds {
    /// The first end of a job that is set aside.
    first_set_aside: BTreeMap<WorkerKey, EndNumber>,
    /// Ends that partial reports left out.
    unread: BTreeMap<WorkerKey, BTreeSet<EndNumber>>,
    /// Incarnations whose ends are withheld no longer, and that have not been taken for logs.
    given_up: Vec<WorkerKey>,
}

impl WithheldEnds {
    /// Returns the last end to acknowledge to a worker; it would be `durable` if no end was withheld.
    pub fn last_before(&self, worker: &WorkerKey, durable: EndNumber) -> EndNumber {
        let first = self.first(worker);
        first.map_or(durable, |first| durable.min(first.previous()))
    }

    /// Keeps only what concerns the incarnations for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&WorkerKey) -> bool) {
        self.first_set_aside.retain(|worker, _| is_kept(worker));
        self.unread.retain(|worker, _| is_kept(worker));
    }

    /// Takes an end that was left out before, and is listed now. Returns false if it was not left out.
    pub fn take_unread(&mut self, worker: &WorkerKey, end: EndNumber) -> bool {
        let unread = self.unread.get_mut(worker);
        unread.is_some_and(|unread| unread.remove(&end))
    }

    /// Notes the ends between the last recorded one and `listed` as left out.
    fn add_unread(&mut self, worker: &WorkerKey, recorded: EndNumber, listed: EndNumber) {
        let oldest = listed.0.saturating_sub(MAX_ENDS_AFTER_WITHHELD);
        let left_out = recorded.0.saturating_add(1).max(oldest)..listed.0;
        if !left_out.is_empty() {
            let unread = self.unread.entry(worker.clone()).or_default();
            unread.extend(left_out.map(EndNumber));
        }
    }

    fn first(&self, worker: &WorkerKey) -> Option<EndNumber> {
        let set_aside = self.first_set_aside.get(worker);
        let unread = self.unread.get(worker).and_then(BTreeSet::first);
        set_aside.into_iter().chain(unread).min().copied()
    }

    fn add_set_aside(&mut self, worker: &WorkerKey, end: EndNumber) {
        let first = self.first_set_aside.entry(worker.clone()).or_insert(end);
        *first = end.min(*first);
    }

    /// Withholds the ends of a worker no longer if so many others follow that new ones might not be listed.
    fn give_up_if_many_follow(&mut self, worker: &WorkerKey, last: EndNumber) {
        let first = self.first(worker);
        if first.is_some_and(|first| last.0.saturating_sub(first.0) > MAX_ENDS_AFTER_WITHHELD) {
            self.first_set_aside.remove(worker);
            self.unread.remove(worker);
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
            self.withheld_ends.add_set_aside(worker, end.number);
        }
    }

    /// Notes which ends a report leaves out before those that it lists. Ends are numbered without gaps, so that the rows of those
    /// could not be read. A report that is partial because it lists as many ends as it may leaves out none of these.
    pub(super) fn note_unread_ends(&mut self, report: &WorkerReport) {
        if !report.is_partial || report.ended.len() as u64 > MAX_ENDS_AFTER_WITHHELD {
            return;
        }
        let mut recorded = self.recorded_end(&report.worker);
        for end in &report.ended {
            self.withheld_ends
                .add_unread(&report.worker, recorded, end.number);
            recorded = recorded.max(end.number);
        }
    }

    /// Withholds the ends of a worker no longer if a complete report has listed them, or if so many others follow that new ones might
    /// not be listed.
    pub(super) fn limit_withheld_ends(&mut self, report: &WorkerReport) {
        let worker = &report.worker;
        if !report.is_partial {
            self.withheld_ends.unread.remove(worker);
        }
        let last = self.recorded_end(worker);
        self.withheld_ends.give_up_if_many_follow(worker, last);
    }
}
