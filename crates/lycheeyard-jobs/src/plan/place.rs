use super::{host::Host, unit::Unit};
use crate::{BootTime, Resources};
use lycheeyard_protocol::RackId;
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// How far a unit may be from its data, or its tasks from each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reach {
    /// Only where tasks run at full speed.
    Near,
    /// Anywhere.
    Far,
}

/// The hosts for the waiting tasks of a unit, in their order; all of them for a gang.
pub(super) fn choose_hosts(
    hosts: &[Host],
    unit: &Unit,
    reach: Reach,
    now: BootTime,
) -> Option<Vec<usize>> {
    let end = now.after(Duration::from_millis(unit.expected_ms));
    let mut candidates = candidates(hosts, unit, reach, |host| host.free_until(end));
    candidates.retain(|candidate| unit.permits.has_ticket(&hosts[candidate.host].key));
    let wanted = unit.waiting.len();
    let best = groups(hosts, &candidates, unit, reach)
        .into_iter()
        .filter_map(|group| fill(hosts, unit, group))
        .max_by_key(|filled| {
            (
                filled.chosen.len(),
                Reverse(filled.slowness),
                Reverse(filled.left_over),
            )
        })?;
    let complete = best.chosen.len() == wanted;
    (complete || !unit.is_whole()).then_some(best.chosen)
}

/// A host and how many tasks of the unit it takes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub host: usize,
    pub slots: u32,
}

/// The hosts that take at least one task, given what is free on each.
pub(super) fn candidates(
    hosts: &[Host],
    unit: &Unit,
    reach: Reach,
    free: impl Fn(&Host) -> Resources,
) -> Vec<Candidate> {
    let step = unit.step();
    let admitted = hosts.iter().enumerate().filter(|(_, host)| {
        host.admits(step, &unit.service)
            && unit.permits.allows(&host.key)
            && (reach == Reach::Far || host.is_near(step))
    });
    let slots = admitted.map(|(number, host)| Candidate {
        host: number,
        slots: free(host)
            .fit_count(&step.reserved())
            .min(spread_left(unit, host)),
    });
    slots.filter(|candidate| candidate.slots > 0).collect()
}

/// How many more tasks of the unit's step one host may take.
pub(super) fn spread_left(unit: &Unit, host: &Host) -> u32 {
    let Some(limit) = unit.step().spread_limit else {
        return u32::MAX;
    };
    let present = unit.on_worker.get(host.id()).copied().unwrap_or(0);
    limit.saturating_sub(present)
}

/// The sets of hosts of which one must hold the whole unit.
pub(super) fn groups(
    hosts: &[Host],
    candidates: &[Candidate],
    unit: &Unit,
    reach: Reach,
) -> Vec<Vec<Candidate>> {
    if reach == Reach::Far || !unit.step().same_rack {
        return vec![candidates.to_vec()];
    }
    let mut racks: BTreeMap<&RackId, Vec<Candidate>> = BTreeMap::new();
    for candidate in candidates {
        let rack = &hosts[candidate.host].rack;
        racks.entry(rack).or_default().push(*candidate);
    }
    racks.into_values().collect()
}

struct Filled {
    chosen: Vec<usize>,
    /// The slowness of the slowest host.
    slowness: u32,
    left_over: u32,
}

/// Fills hosts with the tasks of a unit, those with the least room first.
fn fill(hosts: &[Host], unit: &Unit, mut group: Vec<Candidate>) -> Option<Filled> {
    group.sort_by_key(|candidate| preference(&hosts[candidate.host], unit));
    let room = group.iter().map(|candidate| hosts[candidate.host].free());
    let room: u32 = room.map(|free| free.accelerators).sum();
    let chosen = if unit.step().long_running {
        fill_in_turn(unit, group)
    } else {
        fill_one_by_one(unit, &group)
    };
    let used = unit.accelerators();
    let slowness = chosen.iter().map(|&host| hosts[host].slowness).max()?;
    Some(Filled {
        chosen,
        slowness,
        left_over: room.saturating_sub(used),
    })
}

/// Where a host stands among those that could take tasks of a unit; lower comes first.
fn preference(host: &Host, unit: &Unit) -> impl Ord + use<> {
    let step = unit.step();
    let free = host.free();
    // What fills gets on best where the most processor time is left over.
    let left_over = if step.best_effort { free.cpu_milli } else { 0 };
    let fill_room = step.best_effort.then_some(host.fill_room);
    let beside = if step.long_running {
        unit.on_worker.get(host.id()).copied().unwrap_or(0)
    } else {
        0
    };
    (
        unit.avoid.contains(host.id()),
        (host.slowness, beside, fill_room),
        Reverse(left_over),
        free.accelerators,
        free.cpu_milli,
    )
}

/// Fills each host before the next.
fn fill_one_by_one(unit: &Unit, group: &[Candidate]) -> Vec<usize> {
    let wanted = unit.waiting.len();
    let mut chosen = Vec::with_capacity(wanted);
    for candidate in group {
        let missing = wanted - chosen.len();
        let count = missing.min(candidate.slots as usize);
        chosen.extend(std::iter::repeat_n(candidate.host, count));
    }
    chosen
}

/// Gives each host one task in turn, so that the loss of one takes few tasks away.
fn fill_in_turn(unit: &Unit, mut group: Vec<Candidate>) -> Vec<usize> {
    let wanted = unit.waiting.len();
    let mut chosen = Vec::with_capacity(wanted);
    while chosen.len() < wanted && !group.is_empty() {
        let missing = wanted - chosen.len();
        chosen.extend(group.iter().take(missing).map(|candidate| candidate.host));
        group.retain_mut(|candidate| {
            candidate.slots -= 1;
            candidate.slots > 0
        });
    }
    chosen
}

/// How many tasks of a unit could be placed near, on hosts that may be used together, if nothing else ran.
pub(super) fn slots_when_empty(hosts: &[Host], unit: &Unit) -> usize {
    let all = candidates(hosts, unit, Reach::Near, |host| host.capacity);
    let groups = groups(hosts, &all, unit, Reach::Near).into_iter();
    let slots = groups.map(|group| {
        let slots = group.iter().map(|candidate| candidate.slots as usize);
        slots.fold(0, usize::saturating_add)
    });
    slots.max().unwrap_or(0)
}
