use super::{host::Host, pending_step::PendingStep, speed_preference::SpeedPreference};
use crate::{Resources, scheduler::Now};
use lycheeyard_protocol::RackId;
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// Where the tasks of a step may run relative to their data and to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Locality {
    /// Only on the rack of the data and, with `same_rack`, on one rack.
    Local,
    /// On any rack, also where tasks run slower.
    Any,
}

/// Returns the host index for each waiting task of a step, in the order of the tasks. The list may be shorter than
/// the list of tasks, except for a gang. Returns `None` if no task fits, or not all members of a gang.
pub(super) fn choose_hosts(
    hosts: &[Host],
    pending: &PendingStep,
    locality: Locality,
    now: Now,
) -> Option<Vec<usize>> {
    let preference = SpeedPreference::of(pending, now.wall);
    choose_hosts_by(hosts, pending, locality, preference, |host| {
        let run_ms = host.speed.run_ms(pending.expected_ms);
        host.free_until(now.boot.after(Duration::from_millis(run_ms)))
    })
}

/// As [`choose_hosts`], given the free resources of each host and the preferred speed.
pub(super) fn choose_hosts_by(
    hosts: &[Host],
    pending: &PendingStep,
    locality: Locality,
    preference: SpeedPreference,
    free: impl Fn(&Host) -> Resources,
) -> Option<Vec<usize>> {
    let mut candidates = candidates(hosts, pending, locality, free);
    candidates.retain(|candidate| {
        let host = &hosts[candidate.host];
        !host.is_over_capacity() && pending.permits.has_ticket(&host.key)
    });
    let assigned = |candidates: &[Candidate]| {
        let groups = host_groups(hosts, candidates, pending, locality).into_iter();
        let assignments = groups.filter_map(|group| assign(hosts, pending, group, preference));
        let best = assignments.max_by_key(|assignment| {
            (
                assignment.hosts.len(),
                Reverse((assignment.is_any_cold, assignment.worst_speed)),
                Reverse(assignment.unused_accelerators),
            )
        });
        best.map(|best| best.hosts)
    };
    let wanted = pending.tasks.len();
    if pending.prefers_lasting_room() {
        let in_lasting_room: Vec<Candidate> = candidates
            .iter()
            .filter(|candidate| hosts[candidate.host].has_lasting_room)
            .copied()
            .collect();
        let chosen = assigned(&in_lasting_room).filter(|chosen| chosen.len() == wanted);
        if chosen.is_some() {
            return chosen;
        }
    }
    let chosen = assigned(&candidates)?;
    let complete = chosen.len() == wanted;
    (complete || !pending.is_gang()).then_some(chosen)
}

/// A host and the number of tasks of the step that fit on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub host: usize,
    pub slots: u32,
}

/// Returns the hosts on which at least one task fits, given the free resources of each.
pub(super) fn candidates(
    hosts: &[Host],
    pending: &PendingStep,
    locality: Locality,
    free: impl Fn(&Host) -> Resources,
) -> Vec<Candidate> {
    let step = pending.step();
    let admitted = hosts.iter().enumerate().filter(|(_, host)| {
        host.admits(step, &pending.service)
            && pending.permits.allows(&host.key)
            && (pending.uses_avoided_workers
                || !(host.is_quarantined && pending.avoided_workers.contains(host.id())))
            && (host.has_lasting_room || !pending.needs_lasting_room())
            && (locality == Locality::Any || host.is_local(step))
    });
    let slots = admitted.map(|(index, host)| Candidate {
        host: index,
        slots: free(host)
            .fit_count(&step.reserved())
            .min(remaining_spread(pending, host)),
    });
    slots.filter(|candidate| candidate.slots > 0).collect()
}

/// Returns how many more tasks of the step one host may run under the step's spread limit.
pub(super) fn remaining_spread(pending: &PendingStep, host: &Host) -> u32 {
    let Some(limit) = pending.step().spread_limit else {
        return u32::MAX;
    };
    let present = pending
        .tasks_per_worker
        .get(host.id())
        .copied()
        .unwrap_or(0);
    limit.saturating_sub(present)
}

/// Splits the candidates into groups; all tasks must be placed within one group. A group is a rack if the step has
/// to stay on one.
pub(super) fn host_groups(
    hosts: &[Host],
    candidates: &[Candidate],
    pending: &PendingStep,
    locality: Locality,
) -> Vec<Vec<Candidate>> {
    if locality == Locality::Any || !pending.step().same_rack {
        return vec![candidates.to_vec()];
    }
    let mut racks: BTreeMap<&RackId, Vec<Candidate>> = BTreeMap::new();
    for candidate in candidates {
        let rack = &hosts[candidate.host].rack;
        racks.entry(rack).or_default().push(*candidate);
    }
    racks.into_values().collect()
}

struct Assignment {
    hosts: Vec<usize>,
    /// Whether one of the hosts is cold.
    is_any_cold: bool,
    /// The least preferred speed among the hosts.
    worst_speed: (bool, i32),
    /// The accelerators of the group that stay free.
    unused_accelerators: u64,
}

/// Assigns the tasks of a step to the hosts of a group in the order of `host_preference`.
fn assign(
    hosts: &[Host],
    pending: &PendingStep,
    mut group: Vec<Candidate>,
    preference: SpeedPreference,
) -> Option<Assignment> {
    let run_ms = pending.expected_ms;
    group.sort_by_key(|candidate| {
        let host = &hosts[candidate.host];
        host_preference(host, pending, preference.key(host, run_ms))
    });
    let room = group.iter().map(|candidate| hosts[candidate.host].free());
    let room: u64 = room.map(|free| u64::from(free.accelerators)).sum();
    let chosen = if pending.step().long_running {
        assign_round_robin(pending, group)
    } else if pending.is_gang() && preference == SpeedPreference::Fast {
        assign_at_one_pace(hosts, pending, group)
    } else {
        assign_packed(pending, &group)
    };
    let used = pending.accelerators();
    let speeds = chosen
        .iter()
        .map(|&host| preference.key(&hosts[host], run_ms));
    let worst_speed = speeds.max()?;
    Some(Assignment {
        is_any_cold: chosen.iter().any(|&host| hosts[host].is_cold),
        hosts: chosen,
        worst_speed,
        unused_accelerators: room.saturating_sub(u64::from(used)),
    })
}

/// The sort key of a host among those that fit tasks of a step; the lowest is preferred. `speed` is the key that `SpeedPreference::key`
/// returns for the host. Among otherwise equal hosts, those with fewer free accelerators come first, to reduce fragmentation.
fn host_preference(host: &Host, pending: &PendingStep, speed: (bool, i32)) -> impl Ord + use<> {
    let step = pending.step();
    let free = host.free();
    // Best-effort tasks run fastest where the most CPU time is free.
    let unused_cpu_milli = if step.best_effort { free.cpu_milli } else { 0 };
    let best_effort_throttle = step.best_effort.then_some(host.best_effort_throttle);
    let tasks_present = if step.long_running {
        pending
            .tasks_per_worker
            .get(host.id())
            .copied()
            .unwrap_or(0)
    } else {
        0
    };
    (
        (
            host.is_quarantined,
            pending.avoided_workers.contains(host.id()),
        ),
        pending.prefers_idle_workers && !host.is_idle(),
        host.is_cold,
        (speed, tasks_present, best_effort_throttle),
        Reverse(unused_cpu_milli),
        free.accelerators,
        free.cpu_milli,
    )
}

/// Fills each host before the next one, for a gang that is to run fast. The slowest host that the gang needs sets its pace. Among the
/// hosts that are at least that fast, the slowest are taken, so that faster ones stay free for other steps.
fn assign_at_one_pace(
    hosts: &[Host],
    pending: &PendingStep,
    mut group: Vec<Candidate>,
) -> Vec<usize> {
    let slowness = |host: usize| hosts[host].speed.slowness(pending.expected_ms);
    let chosen = assign_packed(pending, &group);
    let Some(pace) = chosen.iter().map(|&host| slowness(host)).max() else {
        return chosen;
    };
    if chosen.iter().all(|&host| slowness(host) == pace) {
        return chosen;
    }
    group.retain(|candidate| slowness(candidate.host) <= pace);
    // The order by other properties is kept among hosts of the same speed.
    group.sort_by_key(|candidate| {
        let host = candidate.host;
        (hosts[host].is_cold, Reverse(slowness(host)))
    });
    assign_packed(pending, &group)
}

/// Fills each host before the next one.
fn assign_packed(pending: &PendingStep, group: &[Candidate]) -> Vec<usize> {
    let wanted = pending.tasks.len();
    let mut chosen = Vec::with_capacity(wanted);
    for candidate in group {
        let missing = wanted - chosen.len();
        let count = missing.min(candidate.slots as usize);
        chosen.extend(std::iter::repeat_n(candidate.host, count));
    }
    chosen
}

/// Assigns one task to each host in turn, so that the loss of a host stops few tasks.
fn assign_round_robin(pending: &PendingStep, mut group: Vec<Candidate>) -> Vec<usize> {
    let wanted = pending.tasks.len();
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

/// Returns how many tasks of a step could run locally within one group if all hosts were empty.
pub(super) fn slots_on_empty_hosts(hosts: &[Host], pending: &PendingStep) -> usize {
    slots_on(hosts, pending, Locality::Local, |host| host.capacity)
}

/// Returns how many tasks of a step fit within one group, given the free resources of each host.
pub(super) fn slots_on(
    hosts: &[Host],
    pending: &PendingStep,
    locality: Locality,
    free: impl Fn(&Host) -> Resources,
) -> usize {
    let all = candidates(hosts, pending, locality, free);
    let groups = host_groups(hosts, &all, pending, locality).into_iter();
    let slots = groups.map(|group| {
        let slots = group.iter().map(|candidate| candidate.slots as usize);
        slots.fold(0, usize::saturating_add)
    });
    slots.max().unwrap_or(0)
}
