use super::{drain::Drain, host::Host};
use crate::{
    BootTime, Resources, StepKey, WorkerExclusion, WorkerKey,
    scheduler::{JobScheduler, Now},
};
use lycheeyard_protocol::{ServiceId, WorkerId};
use std::collections::BTreeMap;

/// The room of a service is mostly free while less than 1/`FREE_DIVISOR` of its capacity is in use.
const FREE_DIVISOR: u64 = 2;

/// The workers that accept runs in this round, addressed by index.
#[derive(Clone, Debug)]
pub(super) struct Hosts {
    /// Those that accept runs, then those in quarantine.
    all: Vec<Host>,
    /// How many accept runs.
    usable: usize,
    /// The indexes of those that accept runs.
    indexes: BTreeMap<WorkerId, usize>,
    /// The usage of each service's listed workers, whether they accept runs or not.
    usages: BTreeMap<ServiceId, ServiceUsage>,
}

/// How much of a service's capacity is in use, in thousandths of a core with accelerators counted as cores.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceUsage {
    used: u64,
    capacity: u64,
}

impl Hosts {
    pub fn new(scheduler: &JobScheduler, now: Now) -> Self {
        let mut reserved: BTreeMap<&WorkerId, Resources> = BTreeMap::new();
        for reservation in scheduler.reservations.values() {
            for (_, worker) in &reservation.tasks {
                let sum = reserved.entry(worker).or_default();
                *sum = sum.saturating_add(&reservation.demand);
            }
        }
        let mut hosts = Vec::new();
        let mut quarantined = Vec::new();
        let mut indexes = BTreeMap::new();
        for entry in scheduler.workers.values() {
            let Some(info) = entry.info.as_ref() else {
                continue;
            };
            let reserved = reserved.get(entry.id()).copied().unwrap_or_default();
            match entry.exclusion(now.boot) {
                None => {
                    indexes.insert(entry.id().clone(), hosts.len());
                    hosts.push(Host::new(entry, info, &reserved));
                }
                Some(WorkerExclusion::Quarantined) => quarantined.push(Host {
                    is_quarantined: true,
                    ..Host::new(entry, info, &reserved)
                }),
                Some(_) => {}
            }
        }
        let usable = hosts.len();
        hosts.append(&mut quarantined);
        Self {
            all: hosts,
            usable,
            indexes,
            usages: service_usages(scheduler),
        }
    }

    /// The workers that accept runs.
    pub fn as_slice(&self) -> &[Host] {
        &self.all[..self.usable]
    }

    /// A worker by its index.
    pub fn get(&self, index: usize) -> &Host {
        &self.all[index]
    }

    /// All workers that may get runs as a last resort, with what is drained on them for starts after `drained_until` counted as free.
    pub fn as_last_resort(&self, drained_until: BootTime) -> Vec<Host> {
        let mut hosts = self.all.clone();
        for host in &mut hosts {
            let drained = &mut host.drained_demand;
            drained.retain(|(_, starts_at)| starts_at.is_past(drained_until));
        }
        hosts
    }

    /// Whether less than half of a service's capacity was in use when the round began.
    pub fn is_mostly_free(&self, service: &ServiceId) -> bool {
        let load = self.usages.get(service).copied().unwrap_or_default();
        load.used.saturating_mul(FREE_DIVISOR) < load.capacity
    }

    pub fn index_of(&self, id: &WorkerId) -> Option<usize> {
        self.indexes.get(id).copied()
    }

    /// Returns the index of an incarnation of a worker.
    pub fn index_of_key(&self, key: &WorkerKey) -> Option<usize> {
        let index = self.index_of(&key.id)?;
        (self.all[index].key == *key).then_some(index)
    }

    /// Returns the free and the total number of accelerators on the hosts of a service.
    pub fn accelerators(&self, service: &ServiceId) -> (u64, u64) {
        let hosts = self.as_slice().iter();
        let hosts = hosts.filter(|host| host.service == *service);
        hosts.fold((0, 0), |(free, all), host| {
            (
                free + u64::from(host.free().accelerators),
                all + u64::from(host.capacity.accelerators),
            )
        })
    }

    pub fn allocate(&mut self, index: usize, demand: &Resources) {
        let host = &mut self.all[index];
        host.allocated = host.allocated.saturating_add(demand);
    }

    /// Drains hosts for a step that is expected to start there at `drain.starts_at`.
    pub fn add_drain(&mut self, drain: &Drain, demand: &Resources) {
        for (&index, &slots) in &drain.slots {
            let entries = (0..slots).map(|_| (*demand, drain.starts_at));
            self.all[index].drained_demand.extend(entries);
        }
    }

    /// Frees the resources of all reservations.
    pub fn release_all_reservations(&mut self) {
        for host in &mut self.all {
            host.allocated = host.used;
        }
    }

    /// Frees the resources of a step's reservation.
    pub fn release_reservation(&mut self, scheduler: &JobScheduler, key: &StepKey) {
        let Some(reservation) = scheduler.reservations.get(key) else {
            return;
        };
        for (_, worker) in &reservation.tasks {
            let Some(index) = self.index_of(worker) else {
                continue;
            };
            let host = &mut self.all[index];
            host.allocated = host.allocated.saturating_sub(&reservation.demand);
        }
    }
}

fn service_usages(scheduler: &JobScheduler) -> BTreeMap<ServiceId, ServiceUsage> {
    let mut usages: BTreeMap<ServiceId, ServiceUsage> = BTreeMap::new();
    for entry in scheduler.workers.values().filter(|entry| entry.is_listed) {
        let Some(info) = &entry.info else {
            continue;
        };
        if !usages.contains_key(&info.service) {
            usages.insert(info.service.clone(), ServiceUsage::default());
        }
        if let Some(service) = usages.get_mut(&info.service) {
            let in_use = entry.used.weighted_cpu_milli();
            let total = info.capacity.weighted_cpu_milli();
            service.used = service.used.saturating_add(in_use);
            service.capacity = service.capacity.saturating_add(total);
        }
    }
    usages
}
