use lycheeyard_jobs::{
    Job, QueuePolicy, Resources, SchedulingPolicy, Step, WorkerInfo, WorkerKey, WorkerLimits,
};
use lycheeyard_protocol::{Incarnation, ParseError, QueueId, Timestamp};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker};
use rand::{Rng, rngs::SmallRng};
use std::{collections::BTreeMap, fmt, time::Duration};

const SERVICE: &str = "maps";
const QUEUES: [&str; 3] = ["urgent", "ordinary", "bulk"];
const ACCELERATORS_PER_WORKER: u32 = 8;
const WORKERS_PER_RACK: usize = 8;

/// The number of workers of a measured site. It is displayed as that number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanSize(pub usize);

impl fmt::Display for PlanSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl PlanSize {
    /// Creates a site of this size without jobs.
    pub(super) fn create_site(self) -> Result<SimulatedSite, ParseError> {
        let workers: Result<Vec<_>, _> = (0..self.0).map(simulated_worker).collect();
        let limits = WorkerLimits {
            max_lease: Duration::from_secs(6),
            stop_timeout: Duration::from_millis(900),
            maintenance: Duration::from_secs(2),
            remote_slowdown: 3,
        };
        Ok(SimulatedSite::new(workers?, scheduling_policy()?, limits))
    }
}

fn simulated_worker(number: usize) -> Result<SimulatedWorker, ParseError> {
    let rack = format!("r-{}", number / WORKERS_PER_RACK);
    Ok(SimulatedWorker::new(WorkerInfo {
        key: WorkerKey {
            id: format!("w-{number:04}").parse()?,
            incarnation: Incarnation(1),
        },
        address: ([127, 0, 0, 1], 9).into(),
        service: SERVICE.parse()?,
        data_centre: "north".parse()?,
        labels: ["a".to_owned(), rack.clone()].into(),
        rack: rack.parse()?,
        capacity: Resources {
            cpu_milli: 32_000,
            memory_mb: 131_072,
            accelerators: ACCELERATORS_PER_WORKER,
        },
        draining: false,
        is_cold: false,
    }))
}

fn scheduling_policy() -> Result<SchedulingPolicy, ParseError> {
    let mut queues = BTreeMap::new();
    for (priority, name) in (0..).zip(QUEUES) {
        queues.insert(name.parse()?, queue_policy(priority)?);
    }
    Ok(SchedulingPolicy {
        queues,
        guarantees: BTreeMap::new(),
    })
}

fn queue_policy(priority: u32) -> Result<QueuePolicy, ParseError> {
    Ok(QueuePolicy {
        service: SERVICE.parse()?,
        priority,
        max_attempts: 3,
        stretch: 3.0,
        target_latency_ms: 1000,
        advice: None,
    })
}

/// Generates a job of one of the three kinds in the users' workload descriptions: urgent, ordinary or bulk.
pub(super) fn random_job(
    number: usize,
    rng: &mut SmallRng,
    now: Timestamp,
) -> Result<Job, ParseError> {
    let kind = rng.random_range(0..QUEUES.len());
    let accelerator_counts = [1, 2, 4, 8, 8];
    let (tasks, expected_ms) = [(1..8, 2500), (1..12, 8500), (4..40, 9500)][kind].clone();
    let gang = kind < 2;
    let step = Step {
        tasks: rng.random_range(tasks),
        demand: Resources {
            cpu_milli: 2800,
            memory_mb: 15_000,
            accelerators: if gang {
                accelerator_counts[rng.random_range(0..accelerator_counts.len())]
            } else {
                1
            },
        },
        expected_ms,
        gang,
        same_rack: gang && rng.random_bool(0.7),
        checkpointing: !gang && rng.random_bool(0.45),
        ..Step::default()
    };
    let queue: QueueId = QUEUES[kind].parse()?;
    Ok(Job {
        id: format!("job-{number}").parse()?,
        policy: queue_policy(u32::try_from(kind).unwrap_or(0))?,
        queue,
        organisation: format!("org-{}", number % 4).parse()?,
        payload: String::new(),
        steps: vec![step],
        schedule: None,
        submitted_at: now,
    })
}
