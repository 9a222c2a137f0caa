use super::{JobScheduler, Now};
use crate::{BootTime, WorkerInfo, WorkerKey};
use lycheeyard_protocol::{Incarnation, WorkerId};
use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// How many ended incarnations of one worker are remembered, and how many unclear ones.
const MAX_REMEMBERED: usize = 16;
/// How many reports of the present incarnation prove that all incarnations named before have ended. The first one may have been
/// requested before the last of them was named.
const REPORTS_OF_PROOF: u8 = 2;
/// How long the incarnations of a worker without an entry are remembered. An entry of the list may be written late, and read late,
/// but not later than this.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(60);

/// What is known of the incarnations of one worker other than the present one.
///
/// The numbers of incarnations do not order them in time, since the worker's clock may be set back. A worker has one incarnation at a
/// time, so that an incarnation has ended if another one answers a request that was sent after it was named.
#[derive(Clone, Debug, Default)]
pub(crate) struct OtherIncarnations {
    /// These have ended, the last one that was noted last.
    ended: VecDeque<Incarnation>,
    /// The list or the records named these, and no report shows whether they have ended.
    unclear: VecDeque<Incarnation>,
    /// The description of one of the unclear ones, by the newest listing.
    listing: Option<WorkerInfo>,
    /// How many reports of the present incarnation have arrived since the last unclear one was named.
    reports: u8,
    /// When they are forgotten; `None` while the worker has an entry.
    forget_at: Option<BootTime>,
}

impl OtherIncarnations {
    /// Whether an incarnation is known to have ended.
    pub fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.ended.contains(&incarnation)
    }

    /// Notes an incarnation that the list or the records have named.
    pub fn note_unclear(&mut self, incarnation: Incarnation) {
        if !self.has_ended(incarnation) && !self.unclear.contains(&incarnation) {
            self.reports = 0;
            push_bounded(&mut self.unclear, incarnation);
        }
    }

    /// Notes an incarnation that has ended.
    pub fn note_ended(&mut self, incarnation: Incarnation) {
        self.unclear.retain(|other| *other != incarnation);
        let listing = &mut self.listing;
        listing.take_if(|info| info.key.incarnation == incarnation);
        push_bounded(&mut self.ended, incarnation);
    }

    /// Remembers the description of an incarnation, for the case that a report shows it.
    pub fn remember_listing(&mut self, info: WorkerInfo) {
        self.note_unclear(info.key.incarnation);
        self.listing = Some(info);
    }

    /// Whether a description of the same incarnation is remembered.
    pub fn remembers_listing(&self, info: &WorkerInfo) -> bool {
        let listing = self.listing.as_ref();
        listing.is_some_and(|listing| listing.key == info.key)
    }

    /// The address in the remembered description.
    pub fn listed_address(&self) -> Option<SocketAddr> {
        self.listing.as_ref().map(|info| info.address)
    }

    /// Takes the remembered description of an incarnation.
    pub fn take_listing(&mut self, incarnation: Incarnation) -> Option<WorkerInfo> {
        let listing = &mut self.listing;
        listing.take_if(|info| info.key.incarnation == incarnation)
    }

    /// Notes which incarnation is taken as the present one.
    fn note_present(&mut self, present: Incarnation) {
        self.unclear.retain(|other| *other != present);
    }

    /// Notes a report of the present incarnation.
    fn note_report(&mut self) {
        if self.unclear.is_empty() {
            return;
        }
        self.reports += 1;
        if self.reports < REPORTS_OF_PROOF {
            return;
        }
        for incarnation in std::mem::take(&mut self.unclear) {
            self.note_ended(incarnation);
        }
    }

    fn is_to_be_forgotten(&mut self, has_entry: bool, now: BootTime) -> bool {
        if has_entry {
            self.forget_at = None;
            return self.ended.is_empty() && self.unclear.is_empty();
        }
        let forget_at = self.forget_at.get_or_insert(now.after(MAX_LISTING_DELAY));
        forget_at.is_past(now)
    }
}

/// Appends an incarnation, or moves it to the end.
fn push_bounded(incarnations: &mut VecDeque<Incarnation>, incarnation: Incarnation) {
    incarnations.retain(|other| *other != incarnation);
    if incarnations.len() == MAX_REMEMBERED {
        incarnations.pop_front();
    }
    incarnations.push_back(incarnation);
}

impl JobScheduler {
    /// Whether an incarnation of a worker is known to have ended.
    pub(super) fn has_ended(&self, key: &WorkerKey) -> bool {
        let others = self.other_incarnations.get(&key.id);
        others.is_some_and(|others| others.has_ended(key.incarnation))
    }

    /// The other incarnations of a worker, to be changed.
    pub(super) fn others_mut(&mut self, id: &WorkerId) -> &mut OtherIncarnations {
        self.other_incarnations.entry(id.clone()).or_default()
    }

    /// Notes that `present` is taken as the present incarnation of its worker, and which others its entry and its runs named.
    pub(super) fn note_present(&mut self, present: &WorkerKey) {
        let mut named: BTreeSet<Incarnation> = BTreeSet::new();
        if let Some(entry) = self.workers.get(&present.id) {
            let runs = entry.tasks.iter().filter_map(|task| self.runs.get(task));
            named.extend(runs.map(|run| run.worker.incarnation));
            named.insert(entry.key.incarnation);
        }
        let others = self.others_mut(&present.id);
        for incarnation in named {
            others.note_unclear(incarnation);
        }
        others.note_present(present.incarnation);
    }

    /// Whether the list names another incarnation of a worker, and no report shows yet whether it is there.
    pub(super) fn awaits_listed(&self, id: &WorkerId) -> bool {
        let others = self.other_incarnations.get(id);
        others.is_some_and(|others| others.listing.is_some())
    }

    /// Forgets the description of an incarnation, since the worker is not listed any more.
    pub(super) fn forget_listing(&mut self, id: &WorkerId) {
        if let Some(others) = self.other_incarnations.get_mut(id) {
            others.listing = None;
        }
    }

    /// Uses the remembered descriptions of incarnations of workers whose present ones no report shows any more.
    pub(super) fn apply_remembered_listings(&mut self, now: Now) {
        let mut due = Vec::new();
        for (id, others) in &mut self.other_incarnations {
            let entry = self.workers.get(id);
            if entry.is_none_or(|entry| !entry.is_shown_by_reports(now.boot)) {
                due.extend(others.listing.take());
            }
        }
        for info in due {
            self.worker_listed(info, now);
        }
    }

    /// Removes the entry of a worker, and remembers its incarnation.
    pub(super) fn remove_entry(&mut self, key: &WorkerKey) {
        self.workers.remove(&key.id);
        self.others_mut(&key.id).note_unclear(key.incarnation);
    }

    /// Notes that a report of the present incarnation of a worker has arrived.
    pub(super) fn note_report_of_present(&mut self, id: &WorkerId) {
        if let Some(others) = self.other_incarnations.get_mut(id) {
            others.note_report();
        }
    }

    /// Forgets the incarnations of workers that have had no entry for long.
    pub(super) fn forget_other_incarnations(&mut self, now: Now) {
        let workers = &self.workers;
        self.other_incarnations
            .retain(|id, others| !others.is_to_be_forgotten(workers.contains_key(id), now.boot));
    }
}
