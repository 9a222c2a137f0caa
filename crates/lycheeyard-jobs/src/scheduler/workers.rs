use super::{
    Evidence, IncarnationDecision, JobScheduler, Now, listing_verdict::ListingVerdict,
    state::lease_over,
};
use crate::{BootTime, RunEnd, TaskKey, WorkerInfo, WorkerKey};
use lycheeyard_protocol::{Incarnation, WorkerId};
use std::collections::BTreeSet;

impl JobScheduler {
    /// Adds a worker or updates its description from the list of workers.
    ///
    /// While reports show the present incarnation, the description of another one is kept until a report shows whether it is there.
    /// Otherwise the listed one is taken as present, and ends the runs of the one before, but for those that orders may have started on
    /// it. The description of an incarnation that has ended is ignored.
    pub fn worker_listed(&mut self, info: WorkerInfo, now: Now) {
        match self.judge_listing(&info.key, now.boot) {
            ListingVerdict::Present => self.describe_worker(info, now.boot),
            ListingVerdict::Another(evidence) => {
                self.note_listing(&info.key, IncarnationDecision::Listed);
                self.set_incarnation(info.clone(), evidence, now);
                self.describe_worker(info, now.boot);
            }
            ListingVerdict::Unclear => {
                let id = info.key.id.clone();
                if !self.others_mut(&id).remembers_listing(&info) {
                    self.note_listing(&info.key, IncarnationDecision::ListingUnclear);
                    // A start would reach an incarnation that nobody has asked yet.
                    self.await_next_report(&id);
                }
                self.others_mut(&id).remember_listing(info);
            }
            ListingVerdict::Outdated => {
                self.note_listing(&info.key, IncarnationDecision::ListingIgnored);
            }
        }
    }

    /// Updates the description of a listed worker. The address at which reports show its incarnation is kept: a process does not move,
    /// so that the listed one is not its own.
    fn describe_worker(&mut self, mut info: WorkerInfo, now: BootTime) {
        let id = info.key.id.clone();
        let Some(entry) = self.workers.get_mut(&id) else {
            return;
        };
        let is_shown = entry.is_shown_by_reports(now);
        let shown = entry.info.as_ref().filter(|_| is_shown);
        if let Some(shown) = shown.filter(|shown| shown.key == info.key) {
            info.address = entry.own_address.unwrap_or(shown.address);
        }
        let changed = entry.info.as_ref() != Some(&info) || !entry.is_listed;
        if changed {
            entry.full_until = BootTime(0);
        }
        entry.is_listed = true;
        entry.unlisted_since = None;
        entry.gone_at = None;
        entry.is_evacuated = self.evacuated_data_centres.contains(&info.data_centre);
        entry.info = Some(info);
        entry.own_address = None;
        self.plan_due |= changed;
    }

    /// Replaces the list of workers. Workers that are missing from it are no longer listed.
    pub fn workers_listed(&mut self, workers: Vec<WorkerInfo>, now: Now) {
        self.has_worker_list = true;
        let listed: BTreeSet<&WorkerId> = workers.iter().map(|info| &info.key.id).collect();
        let missing: Vec<WorkerId> = self
            .workers
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.worker_unlisted(&id);
        }
        for info in workers {
            self.worker_listed(info, now);
        }
    }

    /// Records that a worker is no longer listed. The runs that it has may continue.
    pub fn worker_unlisted(&mut self, id: &WorkerId) {
        self.forget_listing(id);
        let Some(entry) = self.workers.get_mut(id) else {
            return;
        };
        entry.is_listed = false;
        if !entry.is_polled() && !self.undurable_ends.has_any(&entry.key) {
            let key = entry.key.clone();
            self.remove_entry(&key);
        }
    }

    /// Notes since when workers are missing from the list, once it has been read in this term.
    pub(super) fn note_unlisted_workers(&mut self, now: Now) {
        if !self.has_worker_list {
            return;
        }
        for entry in self.workers.values_mut().filter(|entry| !entry.is_listed) {
            // The record's time holds only if the entry has been missing since.
            let was_listed = entry.info.is_some();
            let recorded = self.silent_record.gone_at(&entry.key);
            entry.note_unlisted(recorded.filter(|_| !was_listed), now.boot);
            if !entry.has_late_copies(now.boot) {
                entry.late_copies_until = BootTime(0);
            }
        }
    }

    /// Ends the runs of a worker's incarnation, which has ended: another worker has its address.
    ///
    /// The entry may be an outdated one, so that this proves nothing about runs that were ordered on other incarnations. They are kept
    /// until a report shows whether they are there, or have ended by the end of their leases.
    ///
    /// Returns whether this changes what was known of the incarnation.
    pub fn worker_lost(&mut self, key: &WorkerKey, now: Now) -> bool {
        if self.restore_address(key) {
            // Another worker is at the address that the list has, which is outdated.
            self.forget_listing(&key.id);
            return false;
        }
        let Some(entry) = self.worker_mut(key) else {
            return false;
        };
        let had_reported = std::mem::replace(&mut entry.has_reported, false);
        entry.evidence = Evidence::Listing;
        let tasks = entry.tasks.clone();
        let tasks = self.tasks_shown_on(&tasks, key.incarnation);
        self.end_runs_with_worker(&tasks, now);
        had_reported || !tasks.is_empty()
    }

    /// The tasks whose runs were ordered on an incarnation, or reported by it.
    fn tasks_shown_on(
        &self,
        tasks: &BTreeSet<TaskKey>,
        incarnation: Incarnation,
    ) -> BTreeSet<TaskKey> {
        let is_shown_there = |task: &&TaskKey| {
            let run = self.runs.get(task);
            run.is_some_and(|run| run.shown_on == incarnation)
        };
        tasks.iter().filter(is_shown_there).cloned().collect()
    }

    /// Places no new runs on the present incarnation of a worker until it reports again.
    fn await_next_report(&mut self, id: &WorkerId) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.has_reported = false;
        }
    }

    /// Places no new runs on a worker until it reports again.
    pub(super) fn await_report(&mut self, key: &WorkerKey) {
        if let Some(entry) = self.worker_mut(key) {
            entry.has_reported = false;
        }
    }

    /// Records that a request was sent at `sent_at` which extends the leases on the worker to `until`.
    pub fn lease_extended(&mut self, key: &WorkerKey, sent_at: BootTime, until: BootTime) {
        let lease_until = lease_over(sent_at, until);
        if let Some(entry) = self.worker_mut(key) {
            entry.extend_lease_by_request(sent_at, lease_until);
        }
    }

    /// Records that the request that was to extend leases at `sent_at` has certainly not reached the worker.
    pub fn lease_not_extended(&mut self, key: &WorkerKey, sent_at: BootTime) {
        if let Some(entry) = self.worker_mut(key) {
            entry.take_back_extension(sent_at);
        }
    }

    /// The workers that are to be polled for reports: those that are listed or have runs.
    pub fn workers_to_poll(&self) -> impl Iterator<Item = &WorkerInfo> {
        let entries = self.workers.values();
        let polled = entries.filter(|entry| entry.is_polled());
        polled.filter_map(|entry| entry.info.as_ref())
    }

    pub(crate) fn end_run_as_lost(&mut self, task: &TaskKey, now: Now) {
        if let Some(run) = self.runs.get(task) {
            let number = run.number;
            self.end_run(task, number, RunEnd::Lost, None, now);
        }
    }
}
