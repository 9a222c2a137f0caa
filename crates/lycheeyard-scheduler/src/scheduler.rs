use crate::{
    SchedulerSettings, SchedulerStatus,
    gang::GangDriver,
    health::StatisticsKeeper,
    lease_keeper::LeaseKeeper,
    records::{JobCache, RecordFollower},
    rounds::Rounds,
    steps::Executor,
    workers::{DataCentreMembers, WorkerPoller, WorkerReports, WorkerTable},
};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_protocol::Epoch;
use lycheeyard_state::{AuditTrail, Configuration, JobStore, SchedulerStateStore};
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The part of a data centre's scheduler that one instance runs.
#[derive(Debug)]
pub struct Scheduler<S, W> {
    keeper: LeaseKeeper<S>,
    follower: RecordFollower<S>,
    poller: WorkerPoller<W>,
    rounds: Rounds<S, W>,
    status: watch::Receiver<SchedulerStatus>,
    cache: JobCache,
}

/// The inputs of a scheduler, which change while it runs.
#[derive(Clone, Debug)]
pub struct SchedulerInputs {
    /// The addresses of the workers.
    pub table: WorkerTable,
    /// The current configuration.
    pub config: watch::Receiver<Arc<Configuration>>,
    /// The scheduler epoch in which this instance last read the configuration from the store.
    pub config_epoch: watch::Receiver<Option<Epoch>>,
    /// The other instances of the data centre.
    pub members: watch::Receiver<DataCentreMembers>,
}

impl<S: Store, W: Workers> Scheduler<S, W> {
    /// Creates a scheduler; it does nothing until [`run`](Self::run).
    #[must_use]
    pub fn new(
        settings: SchedulerSettings,
        store: S,
        workers: W,
        inputs: SchedulerInputs,
        audit: AuditTrail,
    ) -> Self {
        let cache = JobCache::default();
        let reports = WorkerReports::default();
        let jobs = JobStore::new(store.clone());
        let sender = watch::Sender::<SchedulerStatus>::default();
        let status = sender.subscribe();
        let table = inputs.table;
        let executor = Executor {
            settings: settings.clone(),
            jobs: jobs.clone(),
            cache: cache.clone(),
            gangs: GangDriver::new(workers.clone(), table.clone(), reports.clone()),
            reports: reports.clone(),
            status: status.clone(),
            config: inputs.config.clone(),
            statistics: StatisticsKeeper::new(
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
                reports,
                cache.clone(),
                status.clone(),
                inputs.members,
            ),
            rounds: Rounds::new(executor, table, inputs.config, inputs.config_epoch),
            status,
            cache,
        }
    }

    /// Returns a receiver that shows whether this instance holds the scheduler lease.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<SchedulerStatus> {
        self.status.clone()
    }

    /// Returns the cache of job records of this instance.
    #[must_use]
    pub fn records(&self) -> JobCache {
        self.cache.clone()
    }

    /// Runs until `stop` is cancelled, then resigns the lease.
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
