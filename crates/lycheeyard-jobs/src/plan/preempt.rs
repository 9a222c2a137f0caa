use super::{
    eviction::cheapest_preemption,
    guarantees::Guarantees,
    host::Host,
    pending_step::PendingStep,
    place::{Locality, candidates, host_groups},
    running_tasks::{RunningTask, RunningTasks},
    stop_limits::{limited_runs, surplus_victims},
    victim::{Preemption, Victim},
};
use crate::{TaskKey, scheduler::JobScheduler};
use lycheeyard_protocol::Timestamp;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Preemption for a step of priority 0 without a guarantee may cost at most this many times the work of the step.
const URGENT_COST_LIMIT_FACTOR: u64 = 4;
/// Preemption for a step of a lower priority may cost at most the work of the step divided by this.
const COST_LIMIT_DIVISOR: u64 = 16;
/// The stop cost of a run of the same priority, or that a deadline has let start a moment ago, is multiplied by this, so that others are
/// preferred.
const LAST_CHOICE_COST_FACTOR: u64 = 50;
/// How often other victims are sought for a step after some of those chosen may not be stopped together. After that none are chosen that
/// such a limit covers.
const MAX_CHOICES: usize = 32;
/// A step of a lower priority preempts other work only if it must start within this time to meet its objective.
const LATE_PREEMPTION_WINDOW: Duration = Duration::from_secs(3);

/// Which runs may be preempted for a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PreemptionScope {
    /// Those over which it has precedence, at a limited cost, on one rack or on that of its data.
    Local,
    /// The same on any rack.
    AnyRack,
    /// Those that a deadline has let start in the room which is drained for it.
    DrainedRoom,
}

impl PreemptionScope {
    /// Where the step may run relative to its data.
    fn locality(self) -> Locality {
        match self {
            Self::Local | Self::DrainedRoom => Locality::Local,
            Self::AnyRack => Locality::Any,
        }
    }
}

/// Whether other runs may be preempted for a step. A step that can no longer meet its objective waits, unless a
/// guarantee covers it.
pub(super) fn may_preempt(pending: &PendingStep, now: Timestamp) -> bool {
    if pending.is_guaranteed {
        return true;
    }
    let in_time = !pending.is_late(now);
    let is_almost_late = pending.start_by.is_past(now.after(LATE_PREEMPTION_WINDOW));
    in_time && (pending.priority == 0 || is_almost_late)
}

/// Chooses runs whose stop makes room for all waiting tasks of a step, at a low stop cost; `None` if there is no such choice or it costs
/// too much. Of a step that limits its unavailable tasks no more are stopped than it allows.
pub(super) fn choose_victims(
    scheduler: &JobScheduler,
    hosts: &[Host],
    runs: &RunningTasks,
    pending: &PendingStep,
    guarantees: &Guarantees,
    scope: PreemptionScope,
) -> Option<Preemption> {
    let mut spared = BTreeSet::new();
    for _ in 0..MAX_CHOICES {
        let preemption = cheapest_victims(hosts, runs, pending, guarantees, scope, &spared)?;
        let victims = &preemption.victims;
        let surplus = surplus_victims(scheduler, runs, victims);
        if surplus.is_empty() {
            return Some(preemption);
        }
        spared.extend(surplus);
    }
    let limited = limited_runs(scheduler, runs);
    cheapest_victims(hosts, runs, pending, guarantees, scope, &limited)
}

/// Chooses runs whose stop makes room for all waiting tasks of a step, without those that are spared, at the lowest stop cost over the
/// groups of hosts.
fn cheapest_victims(
    hosts: &[Host],
    runs: &RunningTasks,
    pending: &PendingStep,
    guarantees: &Guarantees,
    scope: PreemptionScope,
    spared: &BTreeSet<TaskKey>,
) -> Option<Preemption> {
    let victims = victims_by_host(runs, pending, guarantees, scope, spared);
    let locality = scope.locality();
    let reachable = candidates(hosts, pending, locality, |host| host.capacity);
    let best = host_groups(hosts, &reachable, pending, locality)
        .into_iter()
        .filter_map(|group| cheapest_preemption(hosts, pending, &group, &victims))
        .min_by_key(|(cost, _)| *cost)?;
    let (cost, preemption) = best;
    let max_cost = match pending.priority {
        0 => pending.work().saturating_mul(URGENT_COST_LIMIT_FACTOR),
        _ => pending.work() / COST_LIMIT_DIVISOR,
    };
    let is_free_of_cost = pending.is_guaranteed || scope == PreemptionScope::DrainedRoom;
    (is_free_of_cost || cost <= max_cost).then_some(preemption)
}

/// Returns the runs that may make room, by host; none that a worker would have to stop on which an earlier stop has not ended in time.
fn victims_by_host<'a>(
    runs: &'a RunningTasks,
    pending: &PendingStep,
    guarantees: &Guarantees,
    scope: PreemptionScope,
    spared: &BTreeSet<TaskKey>,
) -> BTreeMap<usize, Vec<Victim<'a>>> {
    let mut victims: BTreeMap<usize, Vec<Victim>> = BTreeMap::new();
    let overdue = runs.iter().filter(|run| run.is_stop_overdue);
    let late_hosts: BTreeSet<usize> = overdue.map(|run| run.host).collect();
    for run in runs.iter() {
        if late_hosts.contains(&run.host) && !run.is_planned {
            continue;
        }
        let may_be_stopped =
            || is_preemptible(run, pending, guarantees, scope) && !spared.contains(&run.task);
        if !run.is_stopping && !may_be_stopped() {
            continue;
        }
        victims.entry(run.host).or_default().push(Victim {
            run,
            cost: victim_cost(run, pending),
        });
    }
    for list in victims.values_mut() {
        list.sort_by(|a, b| {
            let cost = a.cost.cmp(&b.cost);
            cost.then_with(|| a.run.task.cmp(&b.run.task))
        });
    }
    victims
}

fn victim_cost(run: &RunningTask, pending: &PendingStep) -> u64 {
    match run.priority {
        _ if run.is_stopping => 0,
        priority if priority == pending.priority || run.is_kept => {
            run.stop_cost.saturating_mul(LAST_CHOICE_COST_FACTOR)
        }
        _ => run.stop_cost,
    }
}

fn is_preemptible(
    run: &RunningTask,
    pending: &PendingStep,
    guarantees: &Guarantees,
    scope: PreemptionScope,
) -> bool {
    if scope == PreemptionScope::DrainedRoom {
        return run.drained_for.as_ref() == Some(&pending.key)
            && !(run.is_kept || run.is_planned)
            && run.priority >= pending.priority;
    }
    let organisation = &run.job.organisation;
    let is_borrowed = run.priority == pending.priority
        && *organisation != pending.job.organisation
        && guarantees.is_exceeded(organisation);
    (pending.is_guaranteed || !(run.is_planned || run.is_long_running || run.is_kept))
        && (run.priority > pending.priority || (pending.is_guaranteed && is_borrowed))
}
