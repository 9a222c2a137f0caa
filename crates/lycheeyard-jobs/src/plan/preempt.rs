use super::{
    eviction::cheapest_preemption,
    guarantees::Guarantees,
    host::Host,
    pending_step::PendingStep,
    place::{Locality, candidates, host_groups},
};
use crate::{
    BootTime, Resources, TaskKey,
    scheduler::{JobScheduler, Now, Run, RunPhase},
};
use lycheeyard_protocol::Timestamp;
use std::{collections::BTreeMap, time::Duration};

/// Preemption for a step of priority 0 without a guarantee may cost at most this many times the work of the step.
const URGENT_COST_LIMIT_FACTOR: u64 = 4;
/// Preemption for a step of a lower priority may cost at most the work of the step divided by this.
const COST_LIMIT_DIVISOR: u64 = 4;
/// The stop cost of a run of the same priority is multiplied by this, so that it is preempted only as a last resort.
const SAME_PRIORITY_COST_FACTOR: u64 = 50;
/// A step of a lower priority preempts other work only if it must start within this time to meet its objective.
const LATE_PREEMPTION_WINDOW: Duration = Duration::from_secs(3);

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

/// The hosts on which a step can start once the victims have ended.
#[derive(Clone, Debug)]
pub(super) struct Preemption {
    /// The host index for each task of the step.
    pub hosts: Vec<usize>,
    pub victims: Vec<TaskKey>,
}

/// A run that may be stopped, or is being stopped.
pub(super) struct Victim {
    pub task: TaskKey,
    pub demand: Resources,
    pub cost: u64,
    pub is_stopping: bool,
}

/// Chooses runs whose stop makes room for all waiting tasks of a step, at the lowest stop cost over the groups of
/// hosts; `None` if there is no such choice or it costs too much.
pub(super) fn choose_victims(
    scheduler: &JobScheduler,
    hosts: &[Host],
    pending: &PendingStep,
    guarantees: &Guarantees,
    now: Now,
) -> Option<Preemption> {
    let victims = victims_by_host(scheduler, hosts, pending, guarantees, now.boot);
    let reachable = candidates(hosts, pending, Locality::Local, |host| host.capacity);
    let best = host_groups(hosts, &reachable, pending, Locality::Local)
        .into_iter()
        .filter_map(|group| cheapest_preemption(hosts, pending, &group, &victims))
        .min_by_key(|(cost, _)| *cost)?;
    let (cost, preemption) = best;
    let max_cost = match pending.priority {
        0 => pending.work().saturating_mul(URGENT_COST_LIMIT_FACTOR),
        _ => pending.work() / COST_LIMIT_DIVISOR,
    };
    (pending.is_guaranteed || cost <= max_cost).then_some(preemption)
}

fn victims_by_host(
    scheduler: &JobScheduler,
    hosts: &[Host],
    pending: &PendingStep,
    guarantees: &Guarantees,
    now: BootTime,
) -> BTreeMap<usize, Vec<Victim>> {
    let host_indexes: BTreeMap<_, usize> = hosts
        .iter()
        .enumerate()
        .map(|(host_index, host)| (&host.key, host_index))
        .collect();
    let mut victims: BTreeMap<usize, Vec<Victim>> = BTreeMap::new();
    for (task, run) in &scheduler.runs {
        let Some(&host_index) = host_indexes.get(&run.worker) else {
            continue;
        };
        let is_stopping = run.stop_reason.is_some();
        if !is_stopping && !is_preemptible(scheduler, task, run, pending, guarantees) {
            continue;
        }
        let cost = if is_stopping {
            0
        } else {
            let is_same_priority = scheduler.priority_of(task) == Some(pending.priority);
            let factor = if is_same_priority {
                SAME_PRIORITY_COST_FACTOR
            } else {
                1
            };
            scheduler.stop_cost(task, run, now).saturating_mul(factor)
        };
        victims.entry(host_index).or_default().push(Victim {
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

fn is_preemptible(
    scheduler: &JobScheduler,
    task: &TaskKey,
    run: &Run,
    pending: &PendingStep,
    guarantees: &Guarantees,
) -> bool {
    let Some(entry) = scheduler.jobs.get(&task.step.job) else {
        return false;
    };
    if run.phase == RunPhase::Planned || run.kind.is_long_running() {
        return false;
    }
    let priority = scheduler.queue_policy(&entry.job).priority;
    let organisation = &entry.job.organisation;
    let is_borrowed = priority == pending.priority
        && *organisation != pending.job.organisation
        && guarantees.is_exceeded(organisation);
    priority > pending.priority || (pending.is_guaranteed && is_borrowed)
}
