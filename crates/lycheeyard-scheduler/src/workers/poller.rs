use super::{
    CallReasons, DataCentreMembers, PollSchedule, RenewalDecision, WorkerReports, WorkerTable,
    decide_renewal, rendezvous_owner,
};
use crate::{SchedulerSettings, SchedulerStatus, gang::task_id, records::JobCache};
use lycheeyard_clients::Workers;
use lycheeyard_protocol::{
    Epoch, JobRecord, JobState, TaskId, Timestamp, WorkerId, platform::RenewRequest,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::{sync::watch, task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

const POLL_TICK: Duration = Duration::from_millis(50);
const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_CONCURRENT_CALLS: usize = 32;

/// How often the tasks to renew are derived again although no record has changed, because the workers' reports may have
/// changed.
const TASKS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Renews the task leases on this instance's share of the workers, and polls all workers unless a peer holds the
/// scheduler lease.
#[derive(Debug)]
pub struct WorkerPoller<W> {
    settings: SchedulerSettings,
    workers: W,
    table: WorkerTable,
    reports: WorkerReports,
    cache: JobCache,
    status: watch::Receiver<SchedulerStatus>,
    members: watch::Receiver<DataCentreMembers>,
}

/// The tasks of one worker according to the job records.
#[derive(Clone, Debug, Default)]
struct RecordedTasks {
    renewable: BTreeSet<TaskId>,
    /// Whether a gang on the worker is being started or stopped.
    busy: bool,
}

impl<W: Workers> WorkerPoller<W> {
    /// Creates a poller; it makes no calls until [`run`](Self::run).
    #[must_use]
    pub fn new(
        settings: SchedulerSettings,
        workers: W,
        table: WorkerTable,
        reports: WorkerReports,
        cache: JobCache,
        status: watch::Receiver<SchedulerStatus>,
        members: watch::Receiver<DataCentreMembers>,
    ) -> Self {
        Self {
            settings,
            workers,
            table,
            reports,
            cache,
            status,
            members,
        }
    }

    /// Calls each worker when its call is due, until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut schedule = PollSchedule::new(self.settings.task_lease);
        let mut calls = JoinSet::new();
        let mut generation = None;
        let mut recorded = BTreeMap::new();
        let mut recorded_until = Instant::now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(Ok((worker, answered))) = calls.join_next() => {
                    schedule.record_result(&worker, answered);
                    continue;
                }
                () = tokio::time::sleep(POLL_TICK) => {}
            }
            let now = Instant::now();
            let latest = self.cache.generation();
            if generation != Some(latest) || recorded_until <= now {
                recorded = self.recorded_tasks();
                generation = Some(latest);
                recorded_until = now + TASKS_REFRESH_INTERVAL;
            }
            self.call_due_workers(&mut schedule, &recorded, &mut calls, now);
        }
    }

    fn call_due_workers(
        &self,
        schedule: &mut PollSchedule,
        recorded: &BTreeMap<WorkerId, RecordedTasks>,
        calls: &mut JoinSet<(WorkerId, bool)>,
        now: Instant,
    ) {
        let held = self.status.borrow().valid_lease(now);
        let members = self.members.borrow().clone();
        let decision = self.renewal_decision(&members, held.is_some(), now);
        let observes = held.is_some() || !members.peer_holds_lease;
        let epoch = held.map_or(Epoch(0), |held| held.epoch);
        let addresses = self.table.all();
        for (worker, address) in &addresses {
            let on_worker = recorded.get(worker);
            let owned = || self.owns(worker, &members);
            let reasons = CallReasons {
                renews: decision == RenewalDecision::Renew
                    && on_worker.is_some_and(|on_worker| !on_worker.renewable.is_empty())
                    && owned(),
                observes,
                busy: observes && on_worker.is_some_and(|on_worker| on_worker.busy),
            };
            if calls.len() >= MAX_CONCURRENT_CALLS {
                return;
            }
            if !schedule.begin_if_due(worker, reasons, addresses.len(), now) {
                continue;
            }
            self.reports.note_poll(worker);
            let tasks = on_worker
                .filter(|_| reasons.renews)
                .map(|on_worker| on_worker.renewable.clone());
            let req = RenewRequest {
                tasks: tasks.unwrap_or_default(),
                lease_until: Timestamp::now().after(self.settings.task_lease),
                epoch,
                known_version: self.reports.version(worker),
            };
            let (workers, reports) = (self.workers.clone(), self.reports.clone());
            let (worker, address) = (worker.clone(), *address);
            calls.spawn(async move {
                let reply = workers.renew(address, req, now + WORKER_CALL_TIMEOUT).await;
                let answered = reply.is_ok();
                if let Ok(report) = reply {
                    reports.record(&worker, report, now);
                }
                (worker, answered)
            });
        }
    }

    fn renewal_decision(
        &self,
        members: &DataCentreMembers,
        holds_lease: bool,
        now: Instant,
    ) -> RenewalDecision {
        let confirmed_at = self.cache.confirmed_at();
        let fresh = confirmed_at.is_some_and(|at| at + self.settings.records_freshness > now);
        decide_renewal(fresh || holds_lease, members)
    }

    fn owns(&self, worker: &WorkerId, members: &DataCentreMembers) -> bool {
        let own = &self.settings.instance;
        let all = members.live.iter().chain([own]);
        rendezvous_owner(worker, all) == Some(own)
    }

    /// Groups the tasks of the job records by worker. Tasks of a gang whose leases must expire are not renewable.
    fn recorded_tasks(&self) -> BTreeMap<WorkerId, RecordedTasks> {
        let mut recorded: BTreeMap<WorkerId, RecordedTasks> = BTreeMap::new();
        for stored in self.cache.holding().values() {
            self.add_recorded(&stored.record, &mut recorded);
        }
        recorded
    }

    fn add_recorded(&self, record: &JobRecord, recorded: &mut BTreeMap<WorkerId, RecordedTasks>) {
        let gang = self
            .reports
            .gang_view(record, None, Epoch(0), self.settings.silence_limit());
        let running = record.state == JobState::Running;
        let is_renewable = running && !gang.must_expire();
        for allocation in record.placement.iter().flat_map(|p| &p.allocations) {
            let on_worker = recorded.entry(allocation.worker.clone()).or_default();
            on_worker.busy |= !running;
            if is_renewable && let Ok(task) = task_id(record, &allocation.worker) {
                on_worker.renewable.insert(task);
            }
        }
    }
}
