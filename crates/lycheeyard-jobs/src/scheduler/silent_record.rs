use super::{JobScheduler, Now, RunPhase, WorkerEntry, incarnations::MAX_ORDER_DELAY};
use crate::{BootTime, SilentWorker, WorkerKey};
use std::{collections::BTreeMap, time::Duration};

/// A worker with runs that has not reported for this long is named. Requests that were sent before it fell silent have been counted by
/// then, and those sent since extend no lease.
const SILENCE: Duration = Duration::from_secs(1);
/// Minimum time between two writes of the record.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// The stored record of silent workers, as this instance knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilentRecord {
    /// The workers that the record may name: it is durable with them, or a write of them is under way.
    named: BTreeMap<WorkerKey, SilentWorker>,
    /// The workers that the write under way names.
    writing: Option<BTreeMap<WorkerKey, SilentWorker>>,
    /// The record is not written before this.
    next_write_at: BootTime,
}

impl SilentRecord {
    /// When a worker that the record may name counts as gone, if it is missing from the list.
    pub fn gone_at(&self, worker: &WorkerKey) -> Option<BootTime> {
        self.named.get(worker)?.gone_at
    }
}

impl JobScheduler {
    /// Restores the record of silent workers. Called before jobs are added.
    pub fn restore_silent_workers(&mut self, workers: Vec<SilentWorker>) {
        let named = workers.into_iter();
        self.silent_record.named = named
            .map(|silent| (silent.worker.clone(), silent))
            .collect();
    }

    /// Notes that former instances have sent no start order after `last_sent_at`. Called before jobs are added.
    pub fn limit_inherited_starts(&mut self, last_sent_at: BootTime) {
        let copies_until = last_sent_at.after(MAX_ORDER_DELAY);
        self.inherited_copies_until = self.inherited_copies_until.min(copies_until);
    }

    /// Returns the workers that the record is to name, if these have changed and no write of them is under way.
    ///
    /// From then on the named ones count as named, and the others cease to only once [`Self::silent_workers_written`] is called.
    pub fn take_silent_workers(&mut self, now: Now) -> Option<Vec<SilentWorker>> {
        let record = &self.silent_record;
        if record.writing.is_some() || !record.next_write_at.is_past(now.boot) {
            return None;
        }
        let wanted = self.silent_workers(|since| since.after(SILENCE).is_past(now.boot));
        if wanted == record.named {
            return None;
        }
        Some(self.take_record(wanted, now))
    }

    /// Returns the workers that the first record of the term is to name: all with runs of former terms that have not reported in this one.
    /// A successor is then sure that this term has extended no lease there.
    pub fn take_first_silent_workers(&mut self, now: Now) -> Vec<SilentWorker> {
        let wanted = self.silent_workers(|_| true);
        self.take_record(wanted, now)
    }

    /// Whether a worker with runs of former terms that can be asked has not reported yet.
    #[must_use]
    pub fn awaits_first_reports(&self) -> bool {
        let mut entries = self.workers.values();
        let is_awaited = |entry: &WorkerEntry| {
            !entry.has_reported && !entry.is_missing() && self.has_ordered_runs(entry)
        };
        !self.has_worker_list || entries.any(is_awaited)
    }

    /// When every lease has certainly expired that former terms may have extended on a worker that no record names.
    #[must_use]
    pub fn inherited_lease_until(&self) -> BootTime {
        self.inherited_lease_until
    }

    /// When no copy of a start order of former terms is carried out any more by a worker that no record names.
    #[must_use]
    pub fn inherited_copies_end(&self) -> BootTime {
        self.inherited_copies_until
    }

    fn take_record(
        &mut self,
        wanted: BTreeMap<WorkerKey, SilentWorker>,
        now: Now,
    ) -> Vec<SilentWorker> {
        let record = &mut self.silent_record;
        record.named.extend(wanted.clone());
        record.writing = Some(wanted.clone());
        record.next_write_at = now.boot.after(WRITE_INTERVAL);
        self.mark_recorded_silent();
        wanted.into_values().collect()
    }

    /// Notes that the record that was taken last is durable.
    pub fn silent_workers_written(&mut self) {
        let Some(written) = self.silent_record.writing.take() else {
            return;
        };
        self.silent_record.named = written;
        self.mark_recorded_silent();
        self.plan_due = true;
    }

    fn mark_recorded_silent(&mut self) {
        for entry in self.workers.values_mut() {
            entry.is_recorded_silent = self.silent_record.named.contains_key(&entry.key);
        }
    }

    /// The workers with runs that have not reported since a time that `is_long_ago`, that are missing, or that are named and have not
    /// reported since. A term begins with the latter.
    fn silent_workers(
        &self,
        is_long_ago: impl Fn(BootTime) -> bool,
    ) -> BTreeMap<WorkerKey, SilentWorker> {
        let entries = self.workers.values();
        let silent = entries.filter(|entry| {
            let since = entry.silent_since;
            let is_named = self.silent_record.named.contains_key(&entry.key);
            since.is_some_and(|since| is_named || entry.is_missing() || is_long_ago(since))
        });
        let named = silent.filter(|entry| self.has_ordered_runs(entry));
        let named = named.map(|entry| (entry.key.clone(), self.silent_worker(entry)));
        named.collect()
    }

    fn has_ordered_runs(&self, entry: &WorkerEntry) -> bool {
        let mut runs = entry.tasks.iter().filter_map(|task| self.runs.get(task));
        runs.any(|run| run.phase != RunPhase::Planned)
    }

    fn silent_worker(&self, entry: &WorkerEntry) -> SilentWorker {
        let runs = entry.tasks.iter().filter_map(|task| self.runs.get(task));
        let copies = runs.map(|run| run.copies_until);
        let pending = copies.filter(|until| !until.is_past(entry.seen_at));
        SilentWorker {
            worker: entry.key.clone(),
            leases_until: entry.lease_until.max(entry.late_lease_until),
            copies_until: pending.max().unwrap_or(BootTime(0)),
            gone_at: entry.gone_at,
        }
    }

    /// A new entry for an incarnation of a worker. Leases that a former instance may have extended there end by the time that the
    /// record names, or else by one that holds for all workers.
    pub(super) fn new_worker_entry(&self, key: &WorkerKey, now: BootTime) -> WorkerEntry {
        let mut entry = WorkerEntry::new(key.clone(), now, self.inherited_lease_of(key));
        entry.last_extension_at = self.predecessor_until;
        if self.silent_record.named.contains_key(key) {
            entry.is_recorded_silent = true;
            // It fell silent before this term.
            entry.last_report_at = BootTime(0);
        }
        entry
    }

    /// When every lease on an incarnation of a worker has certainly expired that a former instance may have extended.
    pub(super) fn inherited_lease_of(&self, worker: &WorkerKey) -> BootTime {
        let named = self.silent_record.named.get(worker);
        let inherited = self.inherited_lease_until;
        named.map_or(inherited, |silent| silent.leases_until.min(inherited))
    }

    /// Takes account of a run of a former instance on a worker whose entry may be of another incarnation.
    pub(super) fn note_inherited_run(&mut self, worker: &WorkerKey, now: BootTime) {
        let is_named = self.silent_record.named.contains_key(worker);
        let lease_until = self.inherited_lease_of(worker);
        let Some(entry) = self.workers.get_mut(&worker.id) else {
            return;
        };
        entry.extend_lease(lease_until);
        if !is_named {
            entry.last_report_at = entry.last_report_at.max(now);
        }
    }

    /// When no copy of a start order to a worker is carried out any more that a former instance has sent.
    pub(super) fn inherited_copies_until(&self, worker: &WorkerKey) -> BootTime {
        let named = self.silent_record.named.get(worker);
        let inherited = self.inherited_copies_until;
        named.map_or(inherited, |silent| silent.copies_until.min(inherited))
    }
}
