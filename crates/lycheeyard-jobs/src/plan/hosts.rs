use super::{
    drain::Drain,
    host::Host,
    lasting_room::{guaranteed_accelerators, mark_lasting_room},
};
use crate::{
    Resources, StepKey, WorkerExclusion, WorkerKey,
    scheduler::{JobScheduler, Now},
};
use lycheeyard_protocol::{Percent, ServiceId, WorkerId};
use std::collections::BTreeMap;

/// Percent of the capacity of a service; while less is in use, it is mostly free.
const MOSTLY_FREE: Percent = Percent(50);

/// The workers of a round, addressed by index.
#[derive(Clone, Debug)]
pub(super) struct Hosts {
    /// Those that accept runs, then those in quarantine.
    all: Vec<Host>,
    /// How many accept runs.
    usable_count: usize,
    /// The indexes of those that accept runs.
    indexes: BTreeMap<WorkerId, usize>,
    /// How much of the capacity of each service runs use.
    in_use: BTreeMap<ServiceId, Percent>,
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
        let usable_count = hosts.len();
        hosts.append(&mut quarantined);
        Self {
            in_use: shares_in_use(&hosts),
            all: hosts,
            usable_count,
            indexes,
        }
    }

    /// Marks the hosts that long-running tasks are to use; without it all are. Where organisations have guarantees, those in
    /// quarantine are left to guaranteed steps.
    pub fn mark_lasting_room(&mut self, scheduler: &JobScheduler) {
        let (usable, quarantined) = self.all.split_at_mut(self.usable_count);
        mark_lasting_room(scheduler, usable);
        for host in quarantined {
            host.has_lasting_room = guaranteed_accelerators(scheduler, &host.service) == 0;
        }
    }

    /// The workers that accept runs.
    pub fn usable(&self) -> &[Host] {
        &self.all[..self.usable_count]
    }

    /// The workers that accept runs, and after them those in quarantine.
    pub fn with_quarantined(&self) -> &[Host] {
        &self.all
    }

    /// The workers in quarantine.
    pub fn quarantined(&self) -> &[Host] {
        &self.all[self.usable_count..]
    }

    /// Whether any worker is in quarantine.
    pub fn has_quarantined(&self) -> bool {
        self.usable_count < self.all.len()
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
        let hosts = self.usable().iter();
        let hosts = hosts.filter(|host| host.service == *service);
        hosts.fold((0, 0), |(free, all), host| {
            (
                free + u64::from(host.free().accelerators),
                all + u64::from(host.capacity.accelerators),
            )
        })
    }

    /// Whether less than half of the capacity of a service is in use.
    pub fn is_mostly_free(&self, service: &ServiceId) -> bool {
        self.in_use(service) < MOSTLY_FREE
    }

    /// Returns how much of the capacity of a service was in use when the round began, on hosts that accept runs or are in quarantine, with
    /// accelerators counted as cores; 0 if there are none.
    pub fn in_use(&self, service: &ServiceId) -> Percent {
        self.in_use.get(service).copied().unwrap_or(Percent(0))
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

/// Returns how much of the capacity of each service runs use.
fn shares_in_use(hosts: &[Host]) -> BTreeMap<ServiceId, Percent> {
    let mut sums: BTreeMap<&ServiceId, (u64, u64)> = BTreeMap::new();
    for host in hosts {
        let (used, capacity) = sums.entry(&host.service).or_default();
        *used = used.saturating_add(host.used.weighted_cpu_milli());
        *capacity = capacity.saturating_add(host.capacity.weighted_cpu_milli());
    }
    let shares = sums.into_iter().map(|(service, (used, capacity))| {
        let percent = used.saturating_mul(100) / capacity.max(1);
        let percent = u8::try_from(percent).unwrap_or(u8::MAX);
        (service.clone(), Percent(percent))
    });
    shares.collect()
}
