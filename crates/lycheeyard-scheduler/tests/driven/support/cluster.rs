//! Starts stand-ins, schedulers and jobs.

use lycheeyard_clients::{HttpStore, HttpWorkers};
use lycheeyard_protocol::{
    Bytes, Cores, DataCentre, Instance, InstanceRole, InstanceState, JobRecord, JobSpec, JobState,
    Organisation, Preemption, Priority, Rack, RequestsPerSecond, Revision, Shape, Slots, TaskId,
    Timestamp, Weight, Worker, WorkerId,
    platform::{InstanceList, TaskState},
};
use lycheeyard_scheduler::{
    DataCentreMembers, Scheduler, SchedulerInputs, SchedulerSettings, SchedulerStatus, WorkerTable,
};
use lycheeyard_standin::{StoreStandin, WorkerStandin};
use lycheeyard_state::{
    AuditTrail, Configuration, JobStore, SaveOutcome, StoredJob, SubmitOutcome,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

/// Liveness only: no test passes or fails by being faster than this.
const LIMIT: Duration = Duration::from_secs(40);
const POLL: Duration = Duration::from_millis(10);
const ACCELERATORS: u16 = 8;

/// A data centre of stand-ins: one rack of workers with eight accelerators each, and one organisation.
pub struct TestCluster {
    pub store: StoreStandin,
    pub workers: BTreeMap<WorkerId, WorkerStandin>,
    pub jobs: JobStore<HttpStore>,
    pub audit: AuditTrail,
    pub task_lease: Duration,
    pub members: watch::Sender<DataCentreMembers>,
    data_centre: DataCentre,
    table: WorkerTable,
    config: watch::Sender<Arc<Configuration>>,
}

/// A scheduler that runs; dropping it kills it in the middle of what it does.
pub struct Running {
    pub status: watch::Receiver<SchedulerStatus>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Running {
    /// Ends it in an orderly way.
    pub async fn stop(mut self) {
        self.stop.cancel();
        let _ = (&mut self.task).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TestCluster {
    pub async fn start(workers: u16) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        let id: lycheeyard_protocol::DataCentreId = "dc1".parse().expect("a name");
        let mut standins = BTreeMap::new();
        let mut rack = Rack {
            id: "r1".parse().expect("a name"),
            workers: Vec::new(),
        };
        let mut list = InstanceList::default();
        for number in 1..=workers {
            let worker: WorkerId = format!("w{number}").parse().expect("a name");
            let standin = WorkerStandin::start(worker.clone(), ACCELERATORS).await;
            let standin = standin.expect("the worker starts");
            rack.workers.push(Worker {
                id: worker.clone(),
                accelerators: ACCELERATORS,
                cores: Cores(32),
                memory: Bytes(1 << 37),
            });
            list.instances.push(Instance {
                name: worker.to_string(),
                role: InstanceRole::Worker,
                data_centre: id.clone(),
                service: None,
                address: standin.address(),
                peer_address: None,
                incarnation: lycheeyard_protocol::Incarnation(1),
                state: InstanceState::Live,
            });
            standins.insert(worker, standin);
        }
        let data_centre = DataCentre {
            id: id.clone(),
            racks: vec![rack],
            policy: lycheeyard_protocol::PolicySettings::default(),
        };
        let table = WorkerTable::new(id.clone());
        table.update(&list);
        let jobs = JobStore::new(HttpStore::new(store.address()));
        let config = watch::Sender::new(Arc::new(configuration(&data_centre)));
        let audit = AuditTrail::new(id, "e1".parse().expect("a name"));
        Self {
            store,
            workers: standins,
            jobs,
            audit,
            task_lease: Duration::from_secs(2),
            members: watch::Sender::new(DataCentreMembers::default()),
            data_centre,
            table,
            config,
        }
    }

    /// Starts the scheduler of an instance.
    pub fn scheduler(&self, instance: &str) -> Running {
        let mut settings = SchedulerSettings::new(
            self.data_centre.id.clone(),
            instance.parse().expect("a name"),
            Duration::from_secs(1),
        );
        settings.task_lease = self.task_lease;
        settings.records_freshness = Duration::from_millis(600);
        settings.clock_error = Duration::from_millis(50);
        let scheduler = Scheduler::new(
            settings,
            HttpStore::new(self.store.address()),
            HttpWorkers::default(),
            SchedulerInputs {
                table: self.table.clone(),
                config: self.config.subscribe(),
                members: self.members.subscribe(),
            },
            self.audit.clone(),
        );
        let stop = CancellationToken::new();
        Running {
            status: scheduler.status(),
            task: tokio::spawn(scheduler.run(stop.clone())),
            stop,
        }
    }

    pub fn worker(&self, name: &str) -> &WorkerStandin {
        &self.workers[&name.parse::<WorkerId>().expect("a name")]
    }

    pub fn spec(&self, job: &str, workers: u16, payload: &str) -> JobSpec {
        JobSpec {
            organisation: "org-a".parse().expect("a name"),
            job: job.parse().expect("a name"),
            data_centre: self.data_centre.id.clone(),
            shape: Shape::new(workers, ACCELERATORS).expect("a shape"),
            priority: Priority::Normal,
            preemption: Preemption::Checkpoint,
            guaranteed: false,
            run_time_ms: 60_000,
            window_ms: None,
            payload: payload.to_owned(),
        }
    }

    /// Submits a gang over whole workers.
    pub async fn submit(&self, job: &str, workers: u16, payload: &str) -> StoredJob {
        let spec = self.spec(job, workers, payload);
        // A client of its own, as the caller's instance is another one than the scheduler's.
        let jobs = JobStore::new(HttpStore::new(self.store.address()));
        let submitted = jobs.submit(&spec, Timestamp::now(), deadline()).await;
        match submitted.expect("the store answers") {
            SubmitOutcome::Created(stored) => stored,
            other => panic!("not created: {other:?}"),
        }
    }

    /// Replaces a record whatever it is.
    pub async fn save(&self, stored: &StoredJob, record: JobRecord) -> StoredJob {
        match self.jobs.save(stored, record, deadline()).await {
            Ok(SaveOutcome::Saved(saved)) => saved,
            other => panic!("not saved: {other:?}"),
        }
    }

    /// The job's record, read around the network.
    pub fn record(&self, job: &str) -> JobRecord {
        let key = format!("jobs/{}/org-a/{job}", self.data_centre.id);
        let entries = self.store.entries(&key);
        let entry = entries.iter().find(|entry| entry.key == key);
        serde_json::from_str(&entry.expect("the job exists").value).expect("a record")
    }

    pub async fn wait_for(&self, job: &str, state: JobState) -> JobRecord {
        self.wait_until(job, &state.to_string(), |record| record.state == state)
            .await
    }

    /// Waits until a record is as wanted, and checks all the while that no job runs twice at once.
    pub async fn wait_until(
        &self,
        job: &str,
        what: &str,
        wanted: impl Fn(&JobRecord) -> bool,
    ) -> JobRecord {
        let deadline = Instant::now() + LIMIT;
        loop {
            self.assert_one_attempt_per_job();
            let record = self.record(job);
            if wanted(&record) {
                return record;
            }
            assert!(Instant::now() < deadline, "{job} is not {what}: {record:?}");
            sleep(POLL).await;
        }
    }

    /// Waits until something holds.
    pub async fn eventually(&self, what: &str, holds: impl Fn() -> bool) {
        let deadline = Instant::now() + LIMIT;
        while !holds() {
            assert!(Instant::now() < deadline, "never seen: {what}");
            sleep(POLL).await;
        }
    }

    /// The running_tasks tasks with their workers.
    pub fn running_tasks(&self) -> Vec<(WorkerId, TaskId)> {
        let reports = self.workers.values().map(WorkerStandin::report);
        reports
            .flat_map(|report| {
                let worker = report.worker;
                let tasks = report.tasks.into_iter();
                tasks
                    .filter(|task| task.state == TaskState::Running)
                    .map(move |task| (worker.clone(), task.task))
            })
            .collect()
    }

    /// Checks that no job has running_tasks tasks of two attempts.
    pub fn assert_one_attempt_per_job(&self) {
        let mut attempts: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (_, task) in self.running_tasks() {
            let parts: Vec<&str> = task.as_str().split('.').collect();
            let job = format!("{}.{}", parts[0], parts[1]);
            attempts.entry(job).or_default().insert(parts[2].to_owned());
        }
        for (job, attempts) in attempts {
            assert_eq!(
                attempts.len(),
                1,
                "{job} runs in attempts {attempts:?} at once"
            );
        }
    }
}

fn configuration(data_centre: &DataCentre) -> Configuration {
    let organisation = Organisation {
        id: "org-a".parse().expect("a name"),
        weight: Weight(1),
        concurrency: Slots(64),
        rate: RequestsPerSecond(1000),
        guarantees: Vec::new(),
        key_digests: Vec::new(),
    };
    Configuration {
        revision: Revision(1),
        data_centres: BTreeMap::from([(data_centre.id.clone(), data_centre.clone())]),
        organisations: BTreeMap::from([(organisation.id.clone(), organisation)]),
        ..Configuration::default()
    }
}

pub fn deadline() -> Instant {
    Instant::now() + LIMIT
}
