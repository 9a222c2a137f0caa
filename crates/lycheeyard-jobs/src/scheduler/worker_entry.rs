use super::{Evidence, FULL_SHARE, INITIAL_SHARE, Run, RunKind, WorkerSpeed};
use crate::{BootTime, EndNumber, Resources, RunNumber, TaskKey, WorkerInfo, WorkerKey};
use lycheeyard_protocol::{Percent, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// A worker that has not reported for this long receives no new runs, and its leases are not extended.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// The extension of the leases on a worker by a report request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LeaseExtension {
    sent_at: BootTime,
    /// When the leases expire if the request has not reached the worker.
    otherwise_until: BootTime,
}

/// A worker whose entry is missing from the list for this long is gone: an entry that expired while the store was away is back sooner.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(2);

/// One incarnation of a worker and its scheduling state. Until the worker is listed it may have runs of other incarnations.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent, and any may be combined"
)]
pub(crate) struct WorkerEntry {
    pub key: WorkerKey,
    /// What shows that this incarnation is there.
    pub evidence: Evidence,
    /// Its description; `None` if only the record of a run names the worker.
    pub info: Option<WorkerInfo>,
    /// The address of its own description, while it is asked at the one that the list has for another incarnation.
    pub own_address: Option<SocketAddr>,
    /// Whether it is in the current list of workers.
    pub is_listed: bool,
    /// Since when it is missing from the list, as far as this term has read it; `None` while it is listed.
    pub unlisted_since: Option<BootTime>,
    /// When it counts as gone if it stays missing from the list.
    pub gone_at: Option<BootTime>,
    /// Since when report requests to it get no report; `None` while they do.
    pub silent_since: Option<BootTime>,
    /// Whether the stored record of silent workers may name it: its leases are not extended, and it receives no new runs.
    pub is_recorded_silent: bool,
    /// Copies of start orders of runs that count as ended here may be carried out until this, also by its next incarnation.
    pub late_copies_until: BootTime,
    /// Whether it has sent a report in this term, and neither was lost nor left a request without a report since.
    pub has_reported: bool,
    /// When its last report was received, or when the entry was created.
    pub last_report_at: BootTime,
    /// When the newest report request that it has answered was sent: it was there then, and is no later incarnation.
    pub seen_at: BootTime,
    /// When every lease that was extended on it has certainly expired.
    pub lease_until: BootTime,
    /// When the last report request that extends leases was sent to any incarnation of the worker.
    pub last_extension_at: BootTime,
    /// When every lease has certainly expired that late report requests for a former incarnation may extend on this one. They are rejected
    /// once it has reported.
    pub late_lease_until: BootTime,
    /// The newest extension by a report request.
    pub newest_extension: Option<LeaseExtension>,
    /// The tasks whose runs use its resources.
    pub tasks: BTreeSet<TaskKey>,
    /// The resources that those runs use.
    pub used: Resources,
    /// How many of those runs serve requests with a latency target.
    pub serving_runs: usize,
    /// How many of those runs are best-effort work.
    pub best_effort_runs: usize,
    /// The CPU share that its best-effort runs are to have.
    pub best_effort_share: Percent,
    /// Whether its machine is about to be taken down for maintenance.
    pub is_draining_for_maintenance: bool,
    /// Whether its data centre is evacuated.
    pub is_evacuated: bool,
    /// Its runs of which it is unclear whether the worker has them, until reports show it.
    pub unclear_runs: BTreeSet<TaskKey>,
    /// Reported runs that no record names, with the time of the last stop order for each.
    pub unknown_runs: BTreeMap<(TaskKey, RunNumber), BootTime>,
    /// Run ends up to this number are recorded in the jobs' progress in memory.
    pub recorded_end: EndNumber,
    /// Its speed when the speeds were last evaluated; `None` if it was added since.
    pub speed: Option<WorkerSpeed>,
    /// Failures since the last run that was done.
    pub failures: u32,
    /// It receives no new runs before this.
    pub quarantined_until: BootTime,
    /// It has refused a start for lack of room, and receives no new runs before this or before its description changes.
    pub full_until: BootTime,
}

impl WorkerEntry {
    pub fn new(key: WorkerKey, now: BootTime, lease_until: BootTime) -> Self {
        Self {
            key,
            evidence: Evidence::Record,
            info: None,
            own_address: None,
            is_listed: false,
            unlisted_since: None,
            gone_at: None,
            silent_since: Some(now),
            is_recorded_silent: false,
            late_copies_until: BootTime(0),
            has_reported: false,
            last_report_at: now,
            seen_at: BootTime(0),
            lease_until,
            last_extension_at: BootTime(0),
            late_lease_until: BootTime(0),
            newest_extension: None,
            tasks: BTreeSet::new(),
            used: Resources::default(),
            serving_runs: 0,
            best_effort_runs: 0,
            best_effort_share: FULL_SHARE,
            is_draining_for_maintenance: false,
            is_evacuated: false,
            unclear_runs: BTreeSet::new(),
            unknown_runs: BTreeMap::new(),
            recorded_end: EndNumber(0),
            speed: None,
            failures: 0,
            quarantined_until: BootTime(0),
            full_until: BootTime(0),
        }
    }

    /// Takes over what may have been sent to a former incarnation of the worker.
    pub fn continue_leases(&mut self, former: &Self) {
        self.lease_until = former.lease_until;
        self.last_extension_at = former.last_extension_at;
    }

    /// Notes a report, after which no lease lasts until later than `lease_until` unless it is extended again: requests of former
    /// instances, and for former incarnations, are rejected from then on.
    pub fn limit_leases(&mut self, lease_until: BootTime) {
        self.lease_until = self.lease_until.min(lease_until);
        self.late_lease_until = BootTime(0);
    }

    /// Notes that an order extends the leases.
    pub fn extend_lease(&mut self, until: BootTime) {
        self.lease_until = self.lease_until.max(until);
        if let Some(extension) = &mut self.newest_extension {
            extension.otherwise_until = extension.otherwise_until.max(until);
        }
    }

    /// Notes that a report request that was sent at `sent_at` extends the leases.
    pub fn extend_lease_by_request(&mut self, sent_at: BootTime, until: BootTime) {
        self.last_extension_at = self.last_extension_at.max(sent_at);
        self.newest_extension = Some(LeaseExtension {
            sent_at,
            otherwise_until: self.lease_until,
        });
        self.lease_until = self.lease_until.max(until);
    }

    /// Takes back the extension by the request that was sent at `sent_at`, if it is the newest one.
    pub fn take_back_extension(&mut self, sent_at: BootTime) {
        let extension = &mut self.newest_extension;
        let newest = extension.take_if(|extension| extension.sent_at == sent_at);
        if let Some(extension) = newest {
            self.lease_until = extension.otherwise_until;
        }
    }

    /// Adds a run and the resources that it uses.
    pub fn add_run(&mut self, task: &TaskKey, run: &Run) {
        if !self.tasks.insert(task.clone()) {
            return;
        }
        self.used = self.used.saturating_add(&run.demand);
        let was_shared = self.is_shared();
        match run.kind {
            RunKind::Serving(_) => self.serving_runs += 1,
            RunKind::BestEffort => self.best_effort_runs += 1,
            RunKind::Batch | RunKind::LongRunning => {}
        }
        if self.is_shared() && !was_shared {
            self.best_effort_share = INITIAL_SHARE;
        }
    }

    /// Removes a run and releases its resources.
    pub fn remove_run(&mut self, task: &TaskKey, run: &Run) {
        self.unclear_runs.remove(task);
        if !self.tasks.remove(task) {
            return;
        }
        self.late_copies_until = self.late_copies_until.max(run.copies_until);
        self.used = self.used.saturating_sub(&run.demand);
        match run.kind {
            RunKind::Serving(_) => self.serving_runs -= 1,
            RunKind::BestEffort => self.best_effort_runs -= 1,
            RunKind::Batch | RunKind::LongRunning => {}
        }
    }

    /// Whether decisions wait for its reports, so that it is to report often.
    pub fn reports_often(&self) -> bool {
        self.is_shared() || !self.unclear_runs.is_empty()
    }

    /// Whether it has both best-effort runs and runs that serve requests.
    pub fn is_shared(&self) -> bool {
        self.serving_runs > 0 && self.best_effort_runs > 0
    }

    pub fn id(&self) -> &WorkerId {
        &self.key.id
    }

    /// Its speed relative to other workers.
    pub fn speed(&self) -> WorkerSpeed {
        self.speed.unwrap_or_default()
    }

    /// Whether its last report is too old.
    pub fn is_unresponsive(&self, now: BootTime) -> bool {
        self.last_report_at.after(REPORT_TIMEOUT).is_past(now)
    }

    /// Whether it is asked for reports: it is listed, has runs, or has had runs that late copies may start on its next incarnation.
    pub fn is_polled(&self) -> bool {
        self.is_listed || !self.tasks.is_empty() || self.late_copies_until != BootTime(0)
    }

    /// Notes that the list lacks it. `gone_at` is the time that a record names, or else it follows from the present time.
    pub fn note_unlisted(&mut self, gone_at: Option<BootTime>, now: BootTime) {
        if self.unlisted_since.is_none() {
            self.unlisted_since = Some(now);
            self.gone_at = gone_at.or(Some(now.after(UNLISTED_TIMEOUT)));
        }
    }

    /// Whether it is taken as gone: it is not in the list, and it does not report. A run that began on this incarnation ends with its
    /// lease, and this incarnation carries out no order after its deadline.
    pub fn is_gone(&self, now: BootTime) -> bool {
        self.gone_at.is_some_and(|at| at.is_past(now)) && self.is_unresponsive(now)
    }

    /// Whether neither the list nor a report has shown it in this term, so that this instance has sent nothing there.
    pub fn is_missing(&self) -> bool {
        self.unlisted_since.is_some() && self.seen_at == BootTime(0)
    }

    /// Whether copies of the start orders of runs that count as ended may still reach its next incarnation.
    pub fn has_late_copies(&self, now: BootTime) -> bool {
        !self.late_copies_until.is_past(now)
    }

    /// Whether it is polled and reports show this incarnation, or the leases that they extended may not have expired yet.
    pub fn is_shown_by_reports(&self, now: BootTime) -> bool {
        let is_over = self.is_unresponsive(now) && self.lease_until.is_past(now);
        self.is_polled() && self.evidence == Evidence::Report && !is_over
    }

    /// Whether its capacity, if it is known, is at least `used`.
    pub fn can_hold(&self, used: &Resources) -> bool {
        let info = self.info.as_ref();
        info.is_none_or(|info| info.capacity.can_fit(used))
    }

    /// Whether its runs use more than its capacity, which may have shrunk under them.
    pub fn is_over_capacity(&self) -> bool {
        !self.can_hold(&self.used)
    }

    /// Whether it is draining, or has no description.
    pub fn is_leaving(&self) -> bool {
        self.is_draining_for_maintenance || self.info.as_ref().is_none_or(|info| info.draining)
    }

    /// Whether it is to get no new runs and long-running tasks are to move off it: it leaves, or its data centre is
    /// evacuated.
    pub fn is_being_emptied(&self) -> bool {
        self.is_evacuated || self.is_leaving()
    }

    /// Whether runs that were placed on it are not to be started, since it is being emptied or does not answer.
    pub fn withholds_starts(&self) -> bool {
        self.is_being_emptied() || self.silent_since.is_some() || self.is_recorded_silent
    }

    /// Whether new runs may be placed on it.
    pub fn accepts_runs(&self, now: BootTime) -> bool {
        self.exclusion(now).is_none()
    }
}
