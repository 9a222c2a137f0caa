use super::{
    hosts::Hosts,
    place::{Reach, candidates, groups, spread_left},
    unit::Unit,
};
use crate::{
    BootTime, Resources,
    scheduler::{JobScheduler, Now},
};
use std::collections::BTreeMap;

/// Hosts that are kept for a unit until enough runs on them have ended.
#[derive(Clone, Debug)]
pub(super) struct Drain {
    /// How many tasks of the unit each host is kept for.
    pub slots: BTreeMap<usize, u32>,
    /// When the unit is expected to start.
    pub starts_at: BootTime,
}

/// What becomes free on a host, and when.
struct Release {
    at: BootTime,
    demand: Resources,
}

/// Finds the hosts on which a unit that does not fit now is expected to fit first. Those that were kept for
/// it in an earlier round stay, since others have been filled meanwhile.
pub(super) fn find_drain(
    scheduler: &JobScheduler,
    hosts: &Hosts,
    unit: &Unit,
    now: Now,
) -> Option<Drain> {
    let releases = releases(scheduler, hosts, now);
    if let Some(kept) = scheduler.drains.get(&unit.key) {
        let kept: Vec<usize> = kept.iter().filter_map(|id| hosts.number(id)).collect();
        let again = earliest(hosts, unit, &kept, &releases, now);
        if again.is_some() {
            return again;
        }
    }
    let reachable = candidates(hosts.rows(), unit, Reach::Near, |host| host.capacity);
    let drains = groups(hosts.rows(), &reachable, unit, Reach::Near).into_iter();
    let drains = drains.filter_map(|group| {
        let numbers: Vec<usize> = group.iter().map(|candidate| candidate.host).collect();
        earliest(hosts, unit, &numbers, &releases, now)
    });
    drains.min_by_key(|drain| drain.starts_at)
}

fn releases(scheduler: &JobScheduler, hosts: &Hosts, now: Now) -> BTreeMap<usize, Vec<Release>> {
    let mut releases: BTreeMap<usize, Vec<Release>> = BTreeMap::new();
    for (task, run) in &scheduler.runs {
        let Some(number) = hosts.number(&run.worker.id) else {
            continue;
        };
        releases.entry(number).or_default().push(Release {
            at: now
                .boot
                .after(scheduler.remaining_time(task, run, now.boot)),
            demand: run.demand,
        });
    }
    for list in releases.values_mut() {
        list.sort_by_key(|release| release.at);
    }
    releases
}

/// The first time at which a group of hosts has room for the whole unit.
fn earliest(
    hosts: &Hosts,
    unit: &Unit,
    group: &[usize],
    releases: &BTreeMap<usize, Vec<Release>>,
    now: Now,
) -> Option<Drain> {
    let mut times: Vec<BootTime> = group
        .iter()
        .filter_map(|number| releases.get(number))
        .flatten()
        .map(|release| release.at)
        .collect();
    times.push(now.boot);
    times.sort_unstable();
    times.dedup();
    let fits = |time: &BootTime| slots_at(hosts, unit, group, releases, *time);
    let first = times.partition_point(|time| fits(time).is_none());
    let starts_at = *times.get(first)?;
    let slots = fits(&starts_at)?;
    Some(Drain { slots, starts_at })
}

/// The hosts that hold the whole unit at a time, those with the most room first; none if it does not fit.
fn slots_at(
    hosts: &Hosts,
    unit: &Unit,
    group: &[usize],
    releases: &BTreeMap<usize, Vec<Release>>,
    time: BootTime,
) -> Option<BTreeMap<usize, u32>> {
    let demand = unit.step().reserved();
    let mut room: Vec<(u32, usize)> = group
        .iter()
        .map(|&number| {
            let host = &hosts.rows()[number];
            let ending = releases.get(&number).into_iter().flatten();
            let ending = ending.take_while(|release| release.at <= time);
            let held = ending.fold(host.held, |held, release| {
                held.saturating_sub(&release.demand)
            });
            let slots = host.capacity.saturating_sub(&held).fit_count(&demand);
            (slots.min(spread_left(unit, host)), number)
        })
        .filter(|(slots, _)| *slots > 0)
        .collect();
    room.sort_unstable_by(|a, b| b.cmp(a));
    let mut missing = u32::try_from(unit.waiting.len()).unwrap_or(u32::MAX);
    let mut chosen = BTreeMap::new();
    for (slots, number) in room {
        if missing == 0 {
            break;
        }
        let taken = slots.min(missing);
        missing -= taken;
        chosen.insert(number, taken);
    }
    (missing == 0).then_some(chosen)
}
