//! Whether a job could run and does not, as its callers see it: by what its workers run, not by what the scheduler knows.

use super::SERVICE;
use lycheeyard_jobs::{Job, Resources, Step, StepProgress, StepWait};
use lycheeyard_protocol::JobId;
use lycheeyard_standin::{SimulatedSite, SimulatedWorker};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A job counts as kept from running after this time without a run.
const KEPT_AFTER: Duration = Duration::from_secs(3);
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How many times a step has to fit.
const TIMES: usize = 2;

/// Advances by `limit`, and returns the jobs that are kept from running, with what keeps their steps when this is found.
pub fn kept_jobs(
    site: &mut SimulatedSite,
    jobs: &[Job],
    limit: Duration,
) -> BTreeMap<JobId, Vec<StepWait>> {
    let until = site.now.boot.after(limit);
    let mut idle_since = BTreeMap::new();
    let mut kept = BTreeMap::new();
    while !until.is_past(site.now.boot) {
        let idle = idle_jobs(site, jobs);
        idle_since.retain(|id, _| idle.contains(id));
        for id in idle {
            let since = *idle_since.entry(id.clone()).or_insert(site.now.boot);
            if since.after(KEPT_AFTER).is_past(site.now.boot) && !kept.contains_key(id) {
                let waits = site.scheduler.step_waits(id, site.now);
                kept.insert(id.clone(), waits.map(|(_, wait)| wait).collect());
            }
        }
        site.advance(LOOK_INTERVAL);
    }
    kept
}

/// The jobs of which nothing runs although a step has its turn and would fit twice, with less than half of the capacity in use.
fn idle_jobs<'a>(site: &SimulatedSite, jobs: &'a [Job]) -> BTreeSet<&'a JobId> {
    if !is_half_free(site) {
        return BTreeSet::new();
    }
    let running = site.workers.values().flat_map(SimulatedWorker::tasks);
    let running: BTreeSet<&JobId> = running.map(|task| &task.step.job).collect();
    let open = jobs.iter().filter(|job| !site.state(&job.id).is_final());
    let idle = open.filter(|job| !running.contains(&job.id));
    let kept = idle.filter(|job| {
        let steps = job.steps.iter().enumerate();
        let mut ready = steps.filter(|(number, _)| has_turn(site, job, *number));
        ready.any(|(_, step)| fits_twice(site, step))
    });
    kept.map(|job| &job.id).collect()
}

fn is_half_free(site: &SimulatedSite) -> bool {
    let sum = |size: fn(&SimulatedWorker) -> Resources| -> u64 {
        let sizes = site.workers.values().map(size);
        sizes.map(|size| size.weighted_cpu_milli()).sum()
    };
    2 * sum(SimulatedWorker::used) < sum(|worker| worker.info.capacity)
}

fn has_turn(site: &SimulatedSite, job: &Job, number: usize) -> bool {
    let Some(progress) = site.progress(&job.id) else {
        return job.steps[number].after.is_empty();
    };
    let Some(steps) = progress.open.get(&0) else {
        return false;
    };
    let mut before = job.steps[number].after.iter();
    before.all(|&step| steps[step].is_done()) && !StepProgress::is_done(&steps[number])
}

/// Whether what may start together of a step fits twice, on any racks: another rack is slower, not forbidden.
fn fits_twice(site: &SimulatedSite, step: &Step) -> bool {
    let together = if step.gang { step.tasks as usize } else { 1 };
    let suitable = site.workers.values().filter(|worker| {
        let info = &worker.info;
        info.service.to_string() == SERVICE && !info.draining && step.accepts_labels(&info.labels)
    });
    let slots = suitable.map(|worker| {
        let free = worker.info.capacity.saturating_sub(&worker.used());
        let slots = free.fit_count(&step.reserved());
        step.spread_limit.map_or(slots, |limit| slots.min(limit)) as usize
    });
    slots.sum::<usize>() >= TIMES * together
}
