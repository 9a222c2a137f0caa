use super::{
    CallKind, DataCentreMembers, PollSchedule, RenewalRight, WorkerTable, WorkerViews,
    rendezvous_owner, renewal_right,
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

const TICK: Duration = Duration::from_millis(50);
const WORKER_CALL: Duration = Duration::from_millis(800);
const MAX_CALLS: usize = 32;

/// How often the tasks to renew are read again from the records while these do not change.
const REREAD_NAMED: Duration = Duration::from_secs(1);

/// Renews the task leases of this instance's share of the workers, and follows all workers for the scheduler.
#[derive(Debug)]
pub struct WorkerPoller<W> {
    settings: SchedulerSettings,
    workers: W,
    table: WorkerTable,
    views: WorkerViews,
    cache: JobCache,
    status: watch::Receiver<SchedulerStatus>,
    members: watch::Receiver<DataCentreMembers>,
}

/// What the job records say of one worker.
#[derive(Clone, Debug, Default)]
struct Named {
    tasks: BTreeSet<TaskId>,
    busy: bool,
}

impl<W: Workers> WorkerPoller<W> {
    /// Makes a poller; it calls nobody until it runs.
    #[must_use]
    pub fn new(
        settings: SchedulerSettings,
        workers: W,
        table: WorkerTable,
        views: WorkerViews,
        cache: JobCache,
        status: watch::Receiver<SchedulerStatus>,
        members: watch::Receiver<DataCentreMembers>,
    ) -> Self {
        Self {
            settings,
            workers,
            table,
            views,
            cache,
            status,
            members,
        }
    }

    /// Calls workers as they fall due until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut schedule = PollSchedule::new(self.settings.task_lease);
        let mut calls = JoinSet::new();
        let mut generation = None;
        let mut named = BTreeMap::new();
        let mut named_until = Instant::now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(Ok((worker, answered))) = calls.join_next() => {
                    schedule.ended(&worker, answered);
                    continue;
                }
                () = tokio::time::sleep(TICK) => {}
            }
            let now = Instant::now();
            let latest = self.cache.generation();
            if generation != Some(latest) || named_until <= now {
                named = self.named_tasks();
                generation = Some(latest);
                named_until = now + REREAD_NAMED;
            }
            self.call_due(&mut schedule, &named, &mut calls, now);
        }
    }

    fn call_due(
        &self,
        schedule: &mut PollSchedule,
        named: &BTreeMap<WorkerId, Named>,
        calls: &mut JoinSet<(WorkerId, bool)>,
        now: Instant,
    ) {
        let held = self
            .status
            .borrow()
            .held
            .filter(|held| held.valid_until > now);
        let members = self.members.borrow().clone();
        let right = self.right(&members, held.is_some(), now);
        let observes = held.is_some() || !members.peer_holds_lease;
        let epoch = held.map_or(Epoch(0), |held| held.epoch);
        let addresses = self.table.all();
        for (worker, address) in &addresses {
            let known = named.get(worker);
            let owned = || self.owns(worker, &members);
            let kind = CallKind {
                renews: right == RenewalRight::Renew
                    && known.is_some_and(|known| !known.tasks.is_empty())
                    && owned(),
                observes,
                busy: observes && known.is_some_and(|known| known.busy),
            };
            if calls.len() >= MAX_CALLS {
                return;
            }
            if !schedule.take(worker, kind, addresses.len(), now) {
                continue;
            }
            self.views.note_asked(worker);
            let tasks = known
                .filter(|_| kind.renews)
                .map(|known| known.tasks.clone());
            let req = RenewRequest {
                tasks: tasks.unwrap_or_default(),
                lease_until: Timestamp::now().after(self.settings.task_lease),
                epoch,
                known_version: self.views.version(worker),
            };
            let (workers, views) = (self.workers.clone(), self.views.clone());
            let (worker, address) = (worker.clone(), *address);
            calls.spawn(async move {
                let reply = workers.renew(address, req, now + WORKER_CALL).await;
                let answered = reply.is_ok();
                if let Ok(report) = reply {
                    views.absorb(&worker, report, now);
                }
                (worker, answered)
            });
        }
    }

    fn right(&self, members: &DataCentreMembers, holds_lease: bool, now: Instant) -> RenewalRight {
        let confirmed_at = self.cache.confirmed_at();
        let fresh = confirmed_at.is_some_and(|at| at + self.settings.records_fresh > now);
        renewal_right(fresh || holds_lease, members)
    }

    fn owns(&self, worker: &WorkerId, members: &DataCentreMembers) -> bool {
        let own = &self.settings.instance;
        let all = members.live.iter().chain([own]);
        rendezvous_owner(worker, all) == Some(own)
    }

    /// The tasks that the records name, by worker; those of a gang that must lapse are left out.
    fn named_tasks(&self) -> BTreeMap<WorkerId, Named> {
        let mut named: BTreeMap<WorkerId, Named> = BTreeMap::new();
        for stored in self.cache.holding().values() {
            self.add_named(&stored.record, &mut named);
        }
        named
    }

    fn add_named(&self, record: &JobRecord, named: &mut BTreeMap<WorkerId, Named>) {
        let view = self
            .views
            .gang(record, None, Epoch(0), self.settings.silence_limit());
        let running = record.state == JobState::Running;
        let renewed = running && !view.must_lapse();
        for allocation in record.placement.iter().flat_map(|p| &p.allocations) {
            let known = named.entry(allocation.worker.clone()).or_default();
            known.busy |= !running;
            if renewed && let Ok(task) = task_id(record, &allocation.worker) {
                known.tasks.insert(task);
            }
        }
    }
}
