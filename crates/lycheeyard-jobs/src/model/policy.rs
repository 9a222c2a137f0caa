use super::WorkerInfo;
use lycheeyard_protocol::{OrganisationId, QueueId, ServiceId};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// The scheduling policy of a queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// The service whose workers run the queue's tasks.
    pub service: ServiceId,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The number of failures of one task, or of a gang, at which the job fails. Failures of long-running tasks do not
    /// count.
    pub max_attempts: u32,
    /// The latency objective of a job is this many times its critical path, plus `target_latency_ms`.
    pub stretch: f64,
    /// The constant part of the latency objective, in milliseconds.
    pub target_latency_ms: u64,
    /// How advice is requested; `None` if the advisor does not decide which workers may run steps of this queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdvicePolicy>,
}

/// The response time of the advisor and the validity of its tickets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvicePolicy {
    /// The time that each request takes, in milliseconds.
    pub decision_ms: u64,
    /// The additional time for each worker in a request, in milliseconds.
    pub per_worker_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub validity_ms: u64,
}

impl Eq for QueuePolicy {}

/// The part of the configuration that the scheduler uses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SchedulingPolicy {
    /// The policies of the queues.
    pub queues: BTreeMap<QueueId, QueuePolicy>,
    /// The number of accelerators guaranteed to the jobs of priority 0 of each organisation.
    pub guarantees: BTreeMap<OrganisationId, u32>,
}

/// Limits and durations that the workers and machines observe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerLimits {
    /// The longest lease that a worker grants.
    pub max_lease: Duration,
    /// The longest time that a stop takes.
    pub stop_timeout: Duration,
    /// How long a machine is unavailable for maintenance.
    pub maintenance: Duration,
    /// The factor by which tasks run longer off the rack of their data, or spread over racks.
    pub remote_slowdown: u32,
}

/// The longest lease that is extended on a worker that leaves, so that little time passes after its end until its tasks run again. It is
/// longer than two report requests, and than a change of the scheduling instance usually takes.
const LEAVING_LEASE: Duration = Duration::from_secs(5);

impl WorkerLimits {
    /// Returns for how long leases on a worker are extended.
    #[must_use]
    pub fn lease_on(&self, worker: &WorkerInfo) -> Duration {
        if worker.draining {
            self.max_lease.min(LEAVING_LEASE)
        } else {
            self.max_lease
        }
    }
}
