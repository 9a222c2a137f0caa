use super::{
    guarantee::Guarantees,
    host::Host,
    place::{Candidate, Reach, candidates, groups, spread_left},
    unit::Unit,
};
use crate::{
    BootTime, Resources, TaskKey,
    scheduler::{JobScheduler, Now, Run, RunPhase},
};
use lycheeyard_protocol::Timestamp;
use std::{collections::BTreeMap, time::Duration};

/// Work of the first priority that no guarantee covers may cost others this many times its own size at most.
const MAX_COST_FACTOR: u64 = 4;
/// Work of lower priorities may cost others this part of its own size at most.
const MAX_COST_DIVISOR: u64 = 4;
/// Work of the same priority is stopped only where nothing else helps.
const EQUAL_COST_FACTOR: u64 = 50;
/// Work of lower priorities stops other work only this short before it would be late.
const LAST_CHANCE: Duration = Duration::from_secs(3);

/// Whether other work may be stopped for a unit. Work that can no longer be in time waits, unless a guarantee
/// covers it.
pub(super) fn may_preempt(unit: &Unit, now: Timestamp) -> bool {
    if unit.is_guaranteed {
        return true;
    }
    let in_time = !unit.is_late(now);
    let is_pressed = unit.start_by.is_past(now.after(LAST_CHANCE));
    in_time && (unit.priority == 0 || is_pressed)
}

/// Where a unit goes once the victims are gone.
#[derive(Clone, Debug)]
pub(super) struct Preemption {
    pub hosts: Vec<usize>,
    pub victims: Vec<TaskKey>,
}

struct Victim {
    task: TaskKey,
    demand: Resources,
    cost: u64,
    is_stopping: bool,
}

/// A way to make room on one host.
struct Clearing {
    host: usize,
    slots: u32,
    cost: u64,
    victims: Vec<TaskKey>,
}

/// Chooses the cheapest runs whose stop makes room for a unit.
pub(super) fn choose_victims(
    scheduler: &JobScheduler,
    hosts: &[Host],
    unit: &Unit,
    guarantees: &Guarantees,
    now: Now,
) -> Option<Preemption> {
    let victims = victims_by_host(scheduler, hosts, unit, guarantees, now.boot);
    let reachable = candidates(hosts, unit, Reach::Near, |host| host.capacity);
    let best = groups(hosts, &reachable, unit, Reach::Near)
        .into_iter()
        .filter_map(|group| cheapest(hosts, unit, &group, &victims))
        .min_by_key(|(cost, _)| *cost)?;
    let (cost, preemption) = best;
    let most = match unit.priority {
        0 => unit.work().saturating_mul(MAX_COST_FACTOR),
        _ => unit.work() / MAX_COST_DIVISOR,
    };
    (unit.is_guaranteed || cost <= most).then_some(preemption)
}

fn victims_by_host(
    scheduler: &JobScheduler,
    hosts: &[Host],
    unit: &Unit,
    guarantees: &Guarantees,
    now: BootTime,
) -> BTreeMap<usize, Vec<Victim>> {
    let numbers: BTreeMap<_, usize> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| (&host.key, number))
        .collect();
    let mut victims: BTreeMap<usize, Vec<Victim>> = BTreeMap::new();
    for (task, run) in &scheduler.runs {
        let Some(&number) = numbers.get(&run.worker) else {
            continue;
        };
        let is_stopping = run.stop.is_some();
        if !is_stopping && !may_stop(scheduler, task, run, unit, guarantees) {
            continue;
        }
        let cost = if is_stopping {
            0
        } else {
            let borrowed = scheduler.priority_of(task) == Some(unit.priority);
            let factor = if borrowed { EQUAL_COST_FACTOR } else { 1 };
            scheduler.stop_cost(task, run, now).saturating_mul(factor)
        };
        victims.entry(number).or_default().push(Victim {
            task: task.clone(),
            demand: run.demand,
            cost,
            is_stopping,
        });
    }
    for list in victims.values_mut() {
        list.sort_by(|a, b| a.cost.cmp(&b.cost).then_with(|| a.task.cmp(&b.task)));
    }
    victims
}

fn may_stop(
    scheduler: &JobScheduler,
    task: &TaskKey,
    run: &Run,
    unit: &Unit,
    guarantees: &Guarantees,
) -> bool {
    let Some(entry) = scheduler.jobs.get(&task.step.job) else {
        return false;
    };
    if run.phase == RunPhase::Planned || run.kind.lasts() {
        return false;
    }
    let priority = scheduler.queue_policy(&entry.job).priority;
    let organisation = &entry.job.organisation;
    let borrows = priority == unit.priority
        && *organisation != unit.job.organisation
        && guarantees.is_exceeded(organisation);
    priority > unit.priority || (unit.is_guaranteed && borrows)
}

/// The cheapest way to make room for a whole unit within a group of hosts.
fn cheapest(
    hosts: &[Host],
    unit: &Unit,
    group: &[Candidate],
    victims: &BTreeMap<usize, Vec<Victim>>,
) -> Option<(u64, Preemption)> {
    let mut options: Vec<Clearing> = group
        .iter()
        .flat_map(|candidate| host_options(hosts, unit, candidate.host, victims))
        .collect();
    options.sort_by_key(|option| (option.cost / u64::from(option.slots), option.host));
    let mut missing = unit.waiting.len();
    let mut cost = 0;
    let mut preemption = Preemption {
        hosts: Vec::new(),
        victims: Vec::new(),
    };
    let mut seen = std::collections::BTreeSet::new();
    for option in options {
        if missing == 0 {
            break;
        }
        if !seen.insert(option.host) {
            continue;
        }
        let count = missing.min(option.slots as usize);
        missing -= count;
        cost += option.cost;
        preemption
            .hosts
            .extend(std::iter::repeat_n(option.host, count));
        preemption.victims.extend(option.victims);
    }
    (missing == 0).then_some((cost, preemption))
}

/// The ways to make room on one host, each with more victims than the one before.
fn host_options(
    hosts: &[Host],
    unit: &Unit,
    number: usize,
    victims: &BTreeMap<usize, Vec<Victim>>,
) -> Vec<Clearing> {
    let host = &hosts[number];
    let step = unit.step();
    let limit = spread_left(unit, host);
    let mut held = host.held;
    let mut cost = 0;
    let mut stopped = Vec::new();
    let mut options = Vec::new();
    let mut best = 0;
    let mut consider = |held: &Resources, cost: u64, stopped: &[TaskKey]| {
        let free = host.capacity.saturating_sub(held);
        let slots = free.fit_count(&step.reserved()).min(limit);
        if slots > best {
            best = slots;
            options.push(Clearing {
                host: number,
                slots,
                cost,
                victims: stopped.to_vec(),
            });
        }
    };
    consider(&held, cost, &stopped);
    for victim in victims.get(&number).map_or(&[][..], Vec::as_slice) {
        held = held.saturating_sub(&victim.demand);
        cost += victim.cost;
        if !victim.is_stopping {
            stopped.push(victim.task.clone());
        }
        consider(&held, cost, &stopped);
    }
    options
}
