use lycheeyard_clients::ClientLimits;
use lycheeyard_dispatch::{AccessKey, QueueRoute, ServingConfig};
use lycheeyard_jobs::{Job, QueuePolicy, Resources, SchedulingPolicy, Step};
use lycheeyard_protocol::{OrganisationId, QueueId, Revision, Timestamp};
use std::{collections::BTreeMap, time::Duration};

pub const QUEUE: &str = "grids";
/// A queue of priority 0, whose jobs the organisation's guarantee covers.
pub const URGENT_QUEUE: &str = "urgent-grids";
pub const KEY: &str = "secret";

/// The accelerators that the organisation is guaranteed.
const GUARANTEE: u32 = 16;

pub fn policy(queue: &str) -> QueuePolicy {
    QueuePolicy {
        service: "maps".parse().expect("service id is valid"),
        priority: u32::from(queue != URGENT_QUEUE),
        max_attempts: 3,
        stretch: 3.0,
        target_latency_ms: 1000,
        advice: None,
    }
}

pub fn config(revision: u64, queues: &[&str], keys: &[&str]) -> ServingConfig {
    let ids: Vec<QueueId> = queues
        .iter()
        .map(|id| id.parse().expect("queue id is valid"))
        .collect();
    let organisation: OrganisationId = "north".parse().expect("organisation id is valid");
    ServingConfig {
        revision: Revision(revision),
        routes: ids
            .iter()
            .map(|queue| QueueRoute {
                queue: queue.clone(),
                host: "jobs.example".to_owned(),
                path_prefix: format!("/{queue}/"),
                is_public: false,
                timeout: Duration::from_secs(3),
            })
            .collect(),
        keys: keys
            .iter()
            .map(|key| (AccessKey((*key).to_owned()), organisation.clone()))
            .collect(),
        max_body_bytes: 10_000,
        client_limits: ClientLimits::default(),
        policy: SchedulingPolicy {
            queues: ids
                .into_iter()
                .map(|id| (id.clone(), policy(id.as_str())))
                .collect(),
            guarantees: BTreeMap::from([(organisation, GUARANTEE)]),
        },
    }
}

pub fn step(tasks: u32) -> Step {
    Step {
        tasks,
        demand: Resources {
            cpu_milli: 1000,
            memory_mb: 100,
            accelerators: 1,
        },
        expected_ms: 1000,
        ..Step::default()
    }
}

pub fn gang(tasks: u32) -> Step {
    Step {
        gang: true,
        ..step(tasks)
    }
}

/// A job whose tasks each take `run_ms`.
pub fn job(name: &str, run_ms: u64, steps: Vec<Step>) -> Job {
    Job {
        id: name.parse().expect("job id is valid"),
        queue: QUEUE.parse().expect("queue id is valid"),
        policy: policy(QUEUE),
        organisation: "north".parse().expect("organisation id is valid"),
        payload: run_ms.to_string(),
        steps,
        schedule: None,
        submitted_at: Timestamp(1_000_000),
    }
}

/// A job like that of [`job`], in the queue of priority 0.
pub fn urgent_job(name: &str, run_ms: u64, steps: Vec<Step>) -> Job {
    Job {
        queue: URGENT_QUEUE.parse().expect("queue id is valid"),
        policy: policy(URGENT_QUEUE),
        ..job(name, run_ms, steps)
    }
}
