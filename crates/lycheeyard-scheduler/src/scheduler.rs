use crate::{
    SchedulerSettings, SchedulerStatus,
    gang::GangDriver,
    health::BookKeeper,
    lease_keeper::LeaseKeeper,
    records::{JobCache, RecordFollower},
    rounds::Rounds,
    steps::Executor,
    workers::{DataCentreMembers, WorkerPoller, WorkerTable, WorkerViews},
};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_state::{AuditTrail, Configuration, JobStore, SchedulerStateStore};
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The scheduler of one data centre as one instance runs it.
#[derive(Debug)]
pub struct Scheduler<S, W> {
    keeper: LeaseKeeper<S>,
    follower: RecordFollower<S>,
    poller: WorkerPoller<W>,
    rounds: Rounds<S, W>,
    status: watch::Receiver<SchedulerStatus>,
    cache: JobCache,
}

/// What a scheduler follows.
#[derive(Clone, Debug)]
pub struct SchedulerInputs {
    /// The addresses of the workers.
    pub table: WorkerTable,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Configuration>>,
    /// The other instances of the data centre.
    pub members: watch::Receiver<DataCentreMembers>,
}

impl<S: Store, W: Workers> Scheduler<S, W> {
    /// Makes a scheduler; it does nothing until it runs.
    #[must_use]
    pub fn new(
        settings: SchedulerSettings,
        store: S,
        workers: W,
        inputs: SchedulerInputs,
        audit: AuditTrail,
    ) -> Self {
        let cache = JobCache::default();
        let views = WorkerViews::default();
        let jobs = JobStore::new(store.clone());
        let sender = watch::Sender::<SchedulerStatus>::default();
        let status = sender.subscribe();
        let table = inputs.table;
        let executor = Executor {
            settings: settings.clone(),
            jobs: jobs.clone(),
            cache: cache.clone(),
            gangs: GangDriver::new(workers.clone(), table.clone(), views.clone()),
            views: views.clone(),
            status: status.clone(),
            book: BookKeeper::new(
                SchedulerStateStore::new(store.clone(), &settings.data_centre),
                audit.clone(),
            ),
            audit: audit.clone(),
        };
        Self {
            keeper: LeaseKeeper::new(
                &settings,
                store,
                sender,
                cache.clone(),
                audit,
                inputs.members.clone(),
            ),
            follower: RecordFollower::new(jobs, cache.clone(), &settings),
            poller: WorkerPoller::new(
                settings,
                workers,
                table.clone(),
                views,
                cache.clone(),
                status.clone(),
                inputs.members,
            ),
            rounds: Rounds::new(executor, table, inputs.config),
            status,
            cache,
        }
    }

    /// Follows whether the lease is held.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<SchedulerStatus> {
        self.status.clone()
    }

    /// The job records as this instance knows them.
    #[must_use]
    pub fn records(&self) -> JobCache {
        self.cache.clone()
    }

    /// Runs until `stop` is cancelled, then gives the lease up.
    pub async fn run(self, stop: CancellationToken) {
        tokio::join!(
            self.keeper.run(stop.clone()),
            self.follower.run(stop.clone()),
            self.poller.run(stop.clone()),
            self.rounds.run(stop),
        );
        self.keeper.resign().await;
    }
}
