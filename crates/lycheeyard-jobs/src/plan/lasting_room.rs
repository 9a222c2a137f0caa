use super::host::Host;
use crate::{WorkerKey, scheduler::JobScheduler};
use lycheeyard_protocol::ServiceId;
use std::{cmp::Reverse, collections::BTreeMap};

/// The priority of the jobs that a guarantee covers.
const GUARANTEED_PRIORITY: u32 = 0;

/// Marks the hosts that long-running tasks are to use. The other hosts of the service have as many accelerators as are guaranteed, so that
/// guaranteed steps find whole hosts on which nothing runs that cannot be stopped. Hosts with long-running tasks are marked first. At
/// least one host of a service is marked, also if all its accelerators are guaranteed.
pub(super) fn mark_lasting_room(scheduler: &JobScheduler, hosts: &mut [Host]) {
    let lasting = lasting_accelerators(scheduler);
    let mut services: BTreeMap<ServiceId, Vec<&mut Host>> = BTreeMap::new();
    for host in hosts {
        services.entry(host.service.clone()).or_default().push(host);
    }
    for (service, mut hosts) in services {
        hosts.sort_by_key(|host| {
            let used = lasting.get(&host.key).copied().unwrap_or_default();
            (Reverse(used), host.key.clone())
        });
        let guaranteed = guaranteed_accelerators(scheduler, &service);
        let capacity = hosts.iter().map(|host| accelerators(host)).sum::<u64>();
        let mut allowance = capacity.saturating_sub(guaranteed);
        for (position, host) in hosts.into_iter().enumerate() {
            let size = accelerators(host);
            host.has_lasting_room = position == 0 || size <= allowance;
            if host.has_lasting_room {
                allowance = allowance.saturating_sub(size);
            }
        }
    }
}

fn accelerators(host: &Host) -> u64 {
    u64::from(host.capacity.accelerators)
}

/// Returns the accelerators that long-running tasks use on each worker.
fn lasting_accelerators(scheduler: &JobScheduler) -> BTreeMap<WorkerKey, u64> {
    let mut used = BTreeMap::new();
    let runs = scheduler.runs.values();
    for run in runs.filter(|run| run.kind.is_long_running()) {
        *used.entry(run.worker.clone()).or_default() += u64::from(run.demand.accelerators);
    }
    used
}

/// Returns the accelerators of a service that are guaranteed to organisations: all guarantees, if jobs that they cover can run there.
pub(super) fn guaranteed_accelerators(scheduler: &JobScheduler, service: &ServiceId) -> u64 {
    let policy = &scheduler.policy;
    let mut queues = policy.queues.values();
    let has_guaranteed_jobs =
        queues.any(|queue| queue.priority == GUARANTEED_PRIORITY && queue.service == *service);
    if !has_guaranteed_jobs {
        return 0;
    }
    let guarantees = policy.guarantees.values();
    guarantees.map(|&count| u64::from(count)).sum()
}
