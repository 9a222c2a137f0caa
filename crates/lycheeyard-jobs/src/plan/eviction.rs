use super::{
    host::Host,
    pending_step::PendingStep,
    place::{Candidate, remaining_spread},
    victim::{Preemption, Victim},
};
use crate::{Resources, TaskKey};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

/// Runs to stop on one host, and the number of tasks that fit there afterwards.
struct EvictionOption {
    slots: u32,
    cost: u64,
    victims: Vec<TaskKey>,
}

/// The options on one host, each with more victims and slots than the one before, and how many of them are taken; the
/// last one taken is in force.
struct HostEviction {
    host: usize,
    options: Vec<EvictionOption>,
    taken: usize,
}

impl HostEviction {
    fn chosen(&self) -> Option<&EvictionOption> {
        self.taken.checked_sub(1).map(|index| &self.options[index])
    }

    fn slots(&self) -> u32 {
        self.chosen().map_or(0, |option| option.slots)
    }

    fn cost(&self) -> u64 {
        self.chosen().map_or(0, |option| option.cost)
    }

    /// Returns the option beyond the chosen one that costs least for each slot that it adds, with that cost.
    fn next_option(&self) -> Option<(u64, usize)> {
        let more = self.options.iter().enumerate().skip(self.taken);
        more.map(|(index, option)| {
            let slots = u64::from(option.slots - self.slots());
            ((option.cost - self.cost()) / slots, index)
        })
        .min()
    }
}

/// Returns a way to make room for all waiting tasks of a step within a group of hosts, and its cost; `None` only if there
/// is none. The search is greedy: it takes the options that cost least for each slot that they add, also on a host that
/// has an option already.
pub(super) fn cheapest_preemption(
    hosts: &[Host],
    pending: &PendingStep,
    group: &[Candidate],
    victims: &BTreeMap<usize, Vec<Victim>>,
) -> Option<(u64, Preemption)> {
    let mut evictions: Vec<HostEviction> = group
        .iter()
        .map(|candidate| HostEviction {
            host: candidate.host,
            options: eviction_options(hosts, pending, candidate.host, victims),
            taken: 0,
        })
        .collect();
    let mut queue = BinaryHeap::new();
    for (position, eviction) in evictions.iter().enumerate() {
        if let Some((cost, option)) = eviction.next_option() {
            queue.push(Reverse((cost, eviction.host, position, option)));
        }
    }
    let wanted = u32::try_from(pending.tasks.len()).unwrap_or(u32::MAX);
    let mut slots: u32 = 0;
    let mut last = 0;
    while slots < wanted {
        let Reverse((.., position, option)) = queue.pop()?;
        let eviction = &mut evictions[position];
        slots = slots.saturating_sub(eviction.slots());
        eviction.taken = option + 1;
        slots = slots.saturating_add(eviction.slots());
        last = position;
        if let Some((cost, option)) = eviction.next_option() {
            queue.push(Reverse((cost, eviction.host, position, option)));
        }
    }
    // Hosts other than the last one are used in full.
    evictions.swap(0, last);
    evictions.reverse();
    Some(preemption(evictions, wanted))
}

/// Combines the chosen options of the hosts, in the given order, until there is room for `wanted` tasks.
fn preemption(evictions: Vec<HostEviction>, wanted: u32) -> (u64, Preemption) {
    let mut missing = wanted as usize;
    let mut cost = 0;
    let mut preemption = Preemption {
        hosts: Vec::new(),
        victims: Vec::new(),
    };
    for mut eviction in evictions {
        let count = missing.min(eviction.slots() as usize);
        if count == 0 {
            continue;
        }
        missing -= count;
        let option = eviction.options.swap_remove(eviction.taken - 1);
        cost = option.cost.saturating_add(cost);
        preemption
            .hosts
            .extend(std::iter::repeat_n(eviction.host, count));
        preemption.victims.extend(option.victims);
    }
    (cost, preemption)
}

/// Returns the options to make room on one host, each with more victims and slots than the one before.
fn eviction_options(
    hosts: &[Host],
    pending: &PendingStep,
    host_index: usize,
    victims: &BTreeMap<usize, Vec<Victim>>,
) -> Vec<EvictionOption> {
    let host = &hosts[host_index];
    let step = pending.step();
    let limit = remaining_spread(pending, host);
    let mut allocated = host.allocated;
    let mut used = host.used;
    let mut cost = 0;
    let mut evicted = Vec::new();
    let mut options = Vec::new();
    let mut most_slots = 0;
    let mut add_option =
        |(allocated, used): (&Resources, &Resources), cost, evicted: &[TaskKey]| {
            if !host.capacity.can_fit(used) {
                return;
            }
            let free = host.capacity.saturating_sub(allocated);
            let slots = free.fit_count(&step.reserved()).min(limit);
            if slots > most_slots {
                most_slots = slots;
                options.push(EvictionOption {
                    slots,
                    cost,
                    victims: evicted.to_vec(),
                });
            }
        };
    add_option((&allocated, &used), cost, &evicted);
    for victim in victims.get(&host_index).map_or(&[][..], Vec::as_slice) {
        allocated = allocated.saturating_sub(&victim.run.demand);
        used = used.saturating_sub(&victim.run.demand);
        cost = victim.cost.saturating_add(cost);
        if !victim.run.is_stopping {
            evicted.push(victim.run.task.clone());
        }
        add_option((&allocated, &used), cost, &evicted);
    }
    options
}
