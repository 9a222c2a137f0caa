use lycheeyard_protocol::{OrganisationId, QueueId, ServiceId};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// How the jobs of a queue are treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// The service whose workers run the queue's tasks.
    pub service: ServiceId,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task, or a gang, may fail.
    pub max_attempts: u32,
    /// How many times its longest chain of work a job may take and still be in time.
    pub stretch: f64,
    /// The time in milliseconds that a job may take beyond that.
    pub target_latency_ms: u64,
    /// How the advisor is asked which workers may run a step, if it decides that for this queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdvicePolicy>,
}

/// How long the advisor takes, and for how long what it says holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvicePolicy {
    /// The time in milliseconds that each request takes,
    pub decision_ms: u64,
    /// and for each worker that it names.
    pub per_worker_ms: u64,
    /// How long a ticket is in force, in milliseconds.
    pub validity_ms: u64,
}

impl Eq for QueuePolicy {}

/// The part of the configuration that the scheduler follows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SchedulingPolicy {
    /// The queues.
    pub queues: BTreeMap<QueueId, QueuePolicy>,
    /// The accelerators that belong to an organisation's jobs of priority 0.
    pub guarantees: BTreeMap<OrganisationId, u32>,
}

/// Times that the workers keep to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerLimits {
    /// The longest lease that a worker grants.
    pub max_lease: Duration,
    /// The longest time that a stop takes.
    pub stop_timeout: Duration,
    /// How long a machine is away for maintenance.
    pub maintenance: Duration,
    /// How many times as long tasks run away from their data or rack.
    pub remote_slowdown: u32,
}
