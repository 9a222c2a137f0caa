use super::{
    drain::Drain,
    hosts::Hosts,
    pending_step::PendingStep,
    place::{Locality, candidates, host_groups, remaining_spread},
};
use crate::{
    BootTime, Resources, StepKey,
    scheduler::{JobScheduler, Now},
};
use std::{collections::BTreeMap, time::Duration};

/// Resources that a run on a host is expected to release, and when.
struct Release {
    at: BootTime,
    demand: Resources,
}

/// Finds the hosts on which a step that does not fit now is expected to fit first. The hosts that an earlier round
/// drained for it are preferred as long as the step can fit on them, since other hosts have received new runs
/// in the meantime.
pub(super) fn find_drain(
    scheduler: &JobScheduler,
    hosts: &Hosts,
    pending: &PendingStep,
    now: Now,
) -> Option<Drain> {
    let releases = releases_by_host(scheduler, hosts, &pending.key, now);
    if let Some(drained) = scheduler.drained_workers.get(&pending.key) {
        let drained: Vec<usize> = drained.iter().filter_map(|id| hosts.index_of(id)).collect();
        let refreshed = earliest_start(hosts, pending, &drained, &releases, now);
        if refreshed.is_some() {
            return refreshed;
        }
    }
    let reachable = candidates(hosts.usable(), pending, Locality::Local, |host| {
        host.capacity
    });
    let groups = host_groups(hosts.usable(), &reachable, pending, Locality::Local).into_iter();
    let drains = groups.filter_map(|group| {
        let host_indexes: Vec<usize> = group.iter().map(|candidate| candidate.host).collect();
        earliest_start(hosts, pending, &host_indexes, &releases, now)
    });
    drains.min_by_key(|drain| drain.starts_at)
}

/// Returns what the runs on each host release and when. Those in the room that is drained for the step can be stopped for it.
fn releases_by_host(
    scheduler: &JobScheduler,
    hosts: &Hosts,
    key: &StepKey,
    now: Now,
) -> BTreeMap<usize, Vec<Release>> {
    let mut releases: BTreeMap<usize, Vec<Release>> = BTreeMap::new();
    for (task, run) in &scheduler.runs {
        let Some(host_index) = hosts.index_of(&run.worker.id) else {
            continue;
        };
        let remaining_time = if run.is_in_room_of(key) {
            Duration::ZERO
        } else {
            scheduler.remaining_time(task, run, now.boot)
        };
        releases.entry(host_index).or_default().push(Release {
            at: now.boot.after(remaining_time),
            demand: run.demand,
        });
    }
    for list in releases.values_mut() {
        list.sort_by_key(|release| release.at);
    }
    releases
}

/// Returns the first time at which a group of hosts has room for all waiting tasks of a step.
fn earliest_start(
    hosts: &Hosts,
    pending: &PendingStep,
    group: &[usize],
    releases: &BTreeMap<usize, Vec<Release>>,
    now: Now,
) -> Option<Drain> {
    let mut times: Vec<BootTime> = group
        .iter()
        .filter_map(|host_index| releases.get(host_index))
        .flatten()
        .map(|release| release.at)
        .collect();
    times.push(now.boot);
    times.sort_unstable();
    times.dedup();
    let slots_by = |time: &BootTime| slots_at(hosts, pending, group, releases, *time);
    let first = times.partition_point(|time| slots_by(time).is_none());
    let starts_at = *times.get(first)?;
    let slots = slots_by(&starts_at)?;
    Some(Drain { slots, starts_at })
}

/// Returns the hosts that fit all waiting tasks of a step at a time, preferring those with the most room; `None`
/// if the tasks do not fit.
fn slots_at(
    hosts: &Hosts,
    pending: &PendingStep,
    group: &[usize],
    releases: &BTreeMap<usize, Vec<Release>>,
    time: BootTime,
) -> Option<BTreeMap<usize, u32>> {
    let demand = pending.step().reserved();
    let mut slots_by_host: Vec<(u32, usize)> = group
        .iter()
        .map(|&host_index| {
            let host = &hosts.usable()[host_index];
            let ending = releases.get(&host_index).into_iter().flatten();
            let ending = ending.take_while(|release| release.at <= time);
            let allocated = ending.fold(host.allocated, |allocated, release| {
                allocated.saturating_sub(&release.demand)
            });
            let slots = host.capacity.saturating_sub(&allocated).fit_count(&demand);
            (slots.min(remaining_spread(pending, host)), host_index)
        })
        .filter(|(slots, _)| *slots > 0)
        .collect();
    slots_by_host.sort_unstable_by(|a, b| b.cmp(a));
    let mut missing = u32::try_from(pending.tasks.len()).unwrap_or(u32::MAX);
    let mut chosen = BTreeMap::new();
    for (slots, host_index) in slots_by_host {
        if missing == 0 {
            break;
        }
        let taken = slots.min(missing);
        missing -= taken;
        chosen.insert(host_index, taken);
    }
    (missing == 0).then_some(chosen)
}
