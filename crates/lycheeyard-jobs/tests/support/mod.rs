//! A small simulated site in virtual time, and helpers that build workers, steps and jobs.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the helpers"
)]

mod crashes;
mod workers;

pub use crashes::{
    assert_given_up, assert_succeeds, await_placement, await_start, submit, submit_crashing, task,
};
pub use workers::{
    delay_orders, first_worker, ids, list_workers, restart, restart_all, restart_as, set_failing,
};

pub mod busy;
pub mod random;
pub mod rest;

use lycheeyard_jobs::{
    Job, QueuePolicy, Resources, SchedulingPolicy, Step, WorkerInfo, WorkerKey, WorkerLimits,
};
use lycheeyard_protocol::{Incarnation, JobId, OrganisationId, QueueId, RackId, Timestamp};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker};
use std::{collections::BTreeMap, time::Duration};

pub const SERVICE: &str = "maps";
pub const URGENT: &str = "urgent";
pub const ORDINARY: &str = "ordinary";
pub const BULK: &str = "bulk";
pub const ACCELERATORS: u32 = 8;

pub fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn limits() -> WorkerLimits {
    WorkerLimits {
        max_lease: Duration::from_secs(6),
        stop_timeout: Duration::from_millis(900),
        maintenance: Duration::from_secs(2),
        remote_slowdown: 3,
    }
}

pub fn policy() -> SchedulingPolicy {
    let queue = |priority, max_attempts, stretch, target_latency_ms| QueuePolicy {
        service: SERVICE.parse().expect("service ID is valid"),
        priority,
        max_attempts,
        stretch,
        target_latency_ms,
        advice: None,
    };
    let queues = [
        (URGENT, queue(0, 2, 1.5, 250)),
        (ORDINARY, queue(1, 4, 3.0, 1000)),
        (BULK, queue(2, 3, 3.0, 3000)),
    ];
    let queues =
        queues.map(|(name, policy)| (name.parse::<QueueId>().expect("queue ID is valid"), policy));
    SchedulingPolicy {
        queues: BTreeMap::from(queues),
        guarantees: BTreeMap::new(),
    }
}

pub fn rack(number: usize) -> RackId {
    format!("r1-{number}").parse().expect("rack ID is valid")
}

pub fn worker(number: usize, rack_number: usize) -> SimulatedWorker {
    let rack = rack(rack_number);
    SimulatedWorker::new(WorkerInfo {
        key: WorkerKey {
            id: format!("w-{number:02}")
                .parse()
                .expect("worker ID is valid"),
            incarnation: Incarnation(1),
        },
        address: ([127, 0, 0, 1], 9000).into(),
        service: SERVICE.parse().expect("service ID is valid"),
        data_centre: "north".parse().expect("data centre ID is valid"),
        labels: ["a".to_owned(), rack.to_string()].into(),
        rack,
        capacity: Resources {
            cpu_milli: 32_000,
            memory_mb: 131_072,
            accelerators: ACCELERATORS,
        },
        draining: false,
        is_cold: false,
    })
}

/// A site of `racks` racks with `per_rack` workers each, all of which have sent a report.
pub fn site(racks: usize, per_rack: usize) -> SimulatedSite {
    site_with(racks, per_rack, policy())
}

pub fn site_with(racks: usize, per_rack: usize, policy: SchedulingPolicy) -> SimulatedSite {
    let workers = (0..racks * per_rack).map(|number| worker(number, number / per_rack));
    let mut site = SimulatedSite::new(workers.collect(), policy, limits());
    site.advance(Duration::from_millis(100));
    site
}

pub fn step(tasks: u32, accelerators: u32, expected_ms: u64) -> Step {
    Step {
        tasks,
        demand: Resources {
            cpu_milli: 1000,
            memory_mb: 1000,
            accelerators,
        },
        expected_ms,
        ..Step::default()
    }
}

pub fn gang(tasks: u32, accelerators: u32, expected_ms: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, accelerators, expected_ms)
    }
}

pub fn job(site: &SimulatedSite, name: &str, queue: &str, steps: Vec<Step>) -> Job {
    let queue: QueueId = queue.parse().expect("queue ID is valid");
    Job {
        id: name.parse().expect("job ID is valid"),
        policy: policy().queues[&queue].clone(),
        queue,
        organisation: organisation("north-survey"),
        payload: String::new(),
        steps,
        schedule: None,
        submitted_at: site.now.wall,
    }
}

pub fn organisation(name: &str) -> OrganisationId {
    name.parse().expect("organisation ID is valid")
}

pub fn id(name: &str) -> JobId {
    name.parse().expect("job ID is valid")
}

/// The time from the submission of a job to its end.
pub fn completion_time(site: &SimulatedSite, name: &str, submitted_at: Timestamp) -> Duration {
    site.ended_at[&id(name)].since(submitted_at)
}

pub fn assert_no_violations(site: &SimulatedSite) {
    assert!(site.violations.is_empty(), "{:#?}", site.violations);
}
