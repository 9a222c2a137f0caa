use super::{
    advisor::FakeAdvisor,
    clock::TestClock,
    fixtures::config,
    machines::{FakeMachines, TestWaves},
    store::FakeStore,
    workers::FakeWorkers,
};
use lycheeyard_dispatch::{
    CommitOutcome, ConfigState, DatedStore, Dispatcher, Environment, EvacuationFormat,
    InstanceSize, JobIntake, KeyValueStore, Transaction, WorkerReader, run_scheduler,
};
use lycheeyard_jobs::{Job, Resources, WorkerInfo, WorkerKey, WorkerLimits};
use lycheeyard_protocol::{DataCentreId, Incarnation, JobId, JobState, QueueId, WorkerId};
use std::{fmt, time::Duration};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// The end of the value of a worker's key that announces that it leaves.
pub const DRAINING: &str = " draining";
/// The end of the value of a worker's key that places it in the data centre `south`; others are in `north`.
pub const SOUTH: &str = " south";

/// Requests to evacuate test data centres.
#[derive(Clone, Copy, Debug)]
pub struct TestEvacuations;

impl EvacuationFormat for TestEvacuations {
    fn prefix(&self) -> &'static str {
        "evacuations/"
    }

    fn parse_key(&self, key: &str) -> Option<DataCentreId> {
        key.strip_prefix("evacuations/")?.parse().ok()
    }
}

/// Decodes test workers: the value of a key is the incarnation, followed by [`DRAINING`] if the worker leaves, or by [`SOUTH`].
#[derive(Clone, Copy, Debug)]
pub struct TestReader;

impl WorkerReader for TestReader {
    type Error = fmt::Error;

    fn prefix(&self) -> &'static str {
        "workers/"
    }

    fn parse_key(&self, key: &str) -> Option<WorkerId> {
        key.strip_prefix("workers/")?.parse().ok()
    }

    fn read(&self, key: &str, bytes: &[u8]) -> Result<WorkerInfo, fmt::Error> {
        self.parse(key, bytes).ok_or(fmt::Error)
    }
}

impl TestReader {
    fn parse(self, key: &str, bytes: &[u8]) -> Option<WorkerInfo> {
        let text = std::str::from_utf8(bytes).ok()?;
        let draining = text.ends_with(DRAINING);
        let data_centre = if text.ends_with(SOUTH) {
            "south"
        } else {
            "north"
        };
        let incarnation = text.trim_end_matches(DRAINING).trim_end_matches(SOUTH);
        let incarnation = incarnation.parse().ok()?;
        Some(WorkerInfo {
            key: WorkerKey {
                id: self.parse_key(key)?,
                incarnation: Incarnation(incarnation),
            },
            address: ([127, 0, 0, 1], 2).into(),
            service: "maps".parse().ok()?,
            data_centre: data_centre.parse().ok()?,
            rack: "r1".parse().ok()?,
            labels: ["r1".to_owned()].into(),
            capacity: Resources {
                cpu_milli: 32_000,
                memory_mb: 100_000,
                accelerators: 8,
            },
            draining,
            is_cold: false,
        })
    }
}

/// The fake external systems.
#[derive(Clone, Copy, Debug)]
struct TestEnvironment;

impl Environment for TestEnvironment {
    type Store = FakeStore;
    type Workers = FakeWorkers;
    type Advisor = FakeAdvisor;
    type Machines = FakeMachines;
    type Waves = TestWaves;
    type Evacuations = TestEvacuations;
    type Reader = TestReader;
    type Clock = TestClock;
}

/// A running instance and its connection to the store.
pub struct Instance {
    pub store: FakeStore,
    pub clock: TestClock,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Several instances that share one store, its workers and the other external systems.
pub struct Fleet {
    pub store: FakeStore,
    pub workers: FakeWorkers,
    pub advisor: FakeAdvisor,
    pub machines: FakeMachines,
    pub instances: Vec<Instance>,
    pub clock: TestClock,
    /// The longest lease that instances count on which start from now on.
    pub max_lease: Duration,
    /// Whether operators may request that data centres are evacuated.
    has_evacuations: bool,
}

impl Fleet {
    /// Starts instances one after the other, so that the first one schedules.
    pub async fn start(instances: usize, workers: usize) -> Self {
        Self::start_in(FakeStore::default(), instances, workers, false).await
    }

    /// Starts instances whose operators may request that data centres are evacuated, over a store that may have such requests.
    /// `workers` are in the data centre `north` and as many in `south`.
    pub async fn start_with_evacuations(
        store: FakeStore,
        instances: usize,
        workers: usize,
    ) -> Self {
        for number in 0..workers {
            store.put(
                &format!("workers/s-{number}"),
                format!("1{SOUTH}").as_bytes(),
            );
        }
        Self::start_in(store, instances, workers, true).await
    }

    async fn start_in(
        store: FakeStore,
        instances: usize,
        workers: usize,
        has_evacuations: bool,
    ) -> Self {
        for number in 0..workers {
            store.put(&format!("workers/w-{number}"), b"1");
        }
        let mut fleet = Self {
            machines: FakeMachines::new(store.connect()),
            store,
            workers: FakeWorkers::default(),
            advisor: FakeAdvisor::default(),
            instances: Vec::new(),
            clock: TestClock::default(),
            max_lease: Duration::from_secs(6),
            has_evacuations,
        };
        for _ in 0..instances {
            fleet.add_instance();
            sleep(Duration::from_millis(200)).await;
        }
        fleet
    }

    pub fn add_instance(&mut self) {
        self.add_instance_of_size(InstanceSize::default());
    }

    pub fn add_instance_of_size(&mut self, size: InstanceSize) {
        let store = self.store.connect();
        let state = ConfigState::default();
        let first = config(1, &[super::QUEUE, super::URGENT_QUEUE], &[super::KEY]);
        assert!(state.update(first, lycheeyard_jobs::BootTime(1)));
        let stop = CancellationToken::new();
        let clock = self.clock.for_instance();
        let dispatcher = Dispatcher::<TestEnvironment> {
            store: DatedStore::new(store.clone(), clock.clone()),
            workers: self.workers.connect(&store.link),
            advisor: self.advisor.clone(),
            machines: self.machines.clone(),
            waves: TestWaves,
            has_admission_control: true,
            evacuations: self.has_evacuations.then_some(TestEvacuations),
            reader: TestReader,
            config: state,
            limits: WorkerLimits {
                max_lease: self.max_lease,
                stop_timeout: Duration::from_millis(900),
                maintenance: Duration::from_secs(2),
                remote_slowdown: 3,
            },
            clock: clock.clone(),
            instance: format!("entry-{}", self.instances.len())
                .parse()
                .expect("instance id is valid"),
            size,
        };
        let task = tokio::spawn(run_scheduler(dispatcher, stop.clone()));
        self.instances.push(Instance {
            store,
            clock,
            stop,
            task,
        });
    }

    /// Kills an instance without a shutdown.
    pub fn kill(&self, number: usize) {
        // Freezing the link also stops calls that spawned tasks of the instance have in flight.
        self.instances[number].store.link.freeze(true);
        self.instances[number].task.abort();
    }

    /// Suspends the process of an instance, or resumes it. Its tasks find the true time only once they continue.
    pub fn suspend(&self, number: usize, suspended: bool) {
        let instance = &self.instances[number];
        instance.clock.suspend(suspended);
        instance.store.link.freeze(suspended);
    }

    /// Shuts an instance down and waits until it has stopped.
    pub async fn stop(&mut self, number: usize) {
        self.instances[number].stop.cancel();
        let task = &mut self.instances[number].task;
        task.await.expect("instance stops without a panic");
    }

    /// Returns the index of the instance that the store names as the scheduling one.
    pub fn holder(&self) -> Option<usize> {
        let item = self.store.item("scheduler")?;
        let text = String::from_utf8(item.value).ok()?;
        let name = text.split('/').next()?;
        name.strip_prefix("entry-")?.parse().ok()
    }

    pub async fn submit(&self, job: &Job) {
        let intake = JobIntake::new(self.store.connect());
        let deadline = Instant::now() + Duration::from_secs(3);
        intake
            .submit(job, deadline)
            .await
            .expect("submission is answered");
    }

    pub async fn state(&self, id: &JobId) -> JobState {
        let queue = super::QUEUE.parse().expect("queue id is valid");
        self.state_in(&queue, id).await
    }

    async fn state_in(&self, queue: &QueueId, id: &JobId) -> JobState {
        let intake = JobIntake::new(self.store.connect());
        let deadline = Instant::now() + Duration::from_secs(3);
        match intake.state(queue, id, deadline).await {
            Ok(lycheeyard_dispatch::StateOutcome::Known(state)) => state,
            other => panic!("no state: {other:?}"),
        }
    }

    pub async fn cancel(&self, id: &JobId) {
        let intake = JobIntake::new(self.store.connect());
        let deadline = Instant::now() + Duration::from_secs(3);
        let queue = super::QUEUE.parse().expect("queue id is valid");
        let organisation = "north".parse().expect("organisation id is valid");
        let outcome = intake.cancel(&queue, &organisation, id, deadline).await;
        assert_eq!(outcome, Ok(lycheeyard_dispatch::CancelOutcome::Cancelled));
    }

    /// Lets a worker announce in the store that it leaves.
    pub fn drain_worker(&self, worker: &WorkerId) {
        self.store.put(
            &format!("workers/{worker}"),
            format!("1{DRAINING}").as_bytes(),
        );
    }

    /// Requests in the store that a data centre is evacuated.
    pub fn evacuate(&self, data_centre: &str) {
        self.store.put(&format!("evacuations/{data_centre}"), b"{}");
    }

    /// Withdraws the request to evacuate a data centre.
    pub async fn end_evacuation(&self, data_centre: &str) {
        let withdrawal = Transaction {
            removes: vec![format!("evacuations/{data_centre}")],
            ..Transaction::default()
        };
        let deadline = Instant::now() + Duration::from_secs(3);
        let outcome = self.store.commit(&withdrawal, deadline).await;
        assert!(matches!(outcome, Ok(CommitOutcome::Done(_))), "{outcome:?}");
    }

    /// Returns when a start order was last sent to a worker whose name begins with `prefix`.
    pub fn last_start_call_to(&self, prefix: &str) -> Option<Instant> {
        let workers = self.store.items(&format!("workers/{prefix}"));
        let ids = workers
            .iter()
            .filter_map(|item| TestReader.parse_key(&item.key));
        ids.filter_map(|id| self.workers.last_start_call(&id)).max()
    }

    /// Waits until a task of a job has been started.
    pub async fn await_first_start(&self, id: &JobId) {
        let is_started = || {
            let starts = self.workers.starts();
            starts.iter().any(|(task, ..)| task.step.job == *id)
        };
        while !is_started() {
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until a job of the default queue has succeeded.
    pub async fn await_success(&self, id: &JobId, limit: Duration) {
        let queue = super::QUEUE.parse().expect("queue id is valid");
        self.await_success_in(&queue, id, limit).await;
    }

    /// Waits until a job of `queue` has succeeded.
    pub async fn await_success_in(&self, queue: &QueueId, id: &JobId, limit: Duration) {
        let until = Instant::now() + limit;
        loop {
            let state = self.state_in(queue, id).await;
            if state == JobState::Succeeded {
                return;
            }
            assert!(Instant::now() < until, "{id} is {state:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}
