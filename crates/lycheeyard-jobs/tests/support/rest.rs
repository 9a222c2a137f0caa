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
/// Jobs count as kept only while less of the capacity than this is in use.
const HALF_PERCENT: u64 = 50;
/// How many times a step has to fit.
const TIMES: usize = 2;

/// A job that is kept from running, when this is found.
#[derive(Debug)]
pub struct KeptJob {
    /// What keeps its steps.
    pub waits: Vec<StepWait>,
    /// The steps whose turn has come.
    pub steps: Vec<String>,
    /// How much of the capacity is in use, in percent.
    pub in_use_percent: u64,
    /// For how long it is kept, as far as it was looked at.
    pub kept_for: Duration,
}

/// Advances by `limit`, and returns the jobs that are kept from running.
pub fn kept_jobs(
    site: &mut SimulatedSite,
    jobs: &[Job],
    limit: Duration,
) -> BTreeMap<JobId, KeptJob> {
    let until = site.now.boot.after(limit);
    let mut idle_since = BTreeMap::new();
    let mut kept = BTreeMap::new();
    while !until.is_past(site.now.boot) {
        let idle = idle_jobs(site, jobs);
        idle_since.retain(|id, _| idle.contains(id));
        for id in idle {
            let since = *idle_since.entry(id.clone()).or_insert(site.now.boot);
            if since.after(KEPT_AFTER).is_past(site.now.boot) {
                let job = kept.entry(id.clone());
                let job = job.or_insert_with(|| describe(site, jobs, id));
                job.kept_for = job.kept_for.max(site.now.boot.since(since));
            }
        }
        site.advance(LOOK_INTERVAL);
    }
    kept
}

fn describe(site: &SimulatedSite, jobs: &[Job], id: &JobId) -> KeptJob {
    let waits = site.scheduler.step_waits(id, site.now);
    let job = jobs.iter().find(|job| job.id == *id);
    let steps = job.into_iter().flat_map(|job| {
        let steps = job.steps.iter().enumerate();
        steps.filter(|(number, _)| has_turn(site, job, *number))
    });
    KeptJob {
        waits: waits.map(|(_, wait)| wait).collect(),
        steps: steps.map(|(_, step)| step.to_string()).collect(),
        in_use_percent: in_use_percent(site),
        kept_for: Duration::ZERO,
    }
}

/// The jobs of which nothing runs although a step has its turn and would fit twice, with less than half of the capacity in use.
fn idle_jobs<'a>(site: &SimulatedSite, jobs: &'a [Job]) -> BTreeSet<&'a JobId> {
    if in_use_percent(site) >= HALF_PERCENT {
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

fn in_use_percent(site: &SimulatedSite) -> u64 {
    let sum = |size: fn(&SimulatedWorker) -> Resources| -> u64 {
        let sizes = site.workers.values().map(size);
        sizes.map(|size| size.weighted_cpu_milli()).sum()
    };
    100 * sum(SimulatedWorker::used) / sum(|worker| worker.info.capacity)
}

fn has_turn(site: &SimulatedSite, job: &Job, number: usize) -> bool {
    let Some(progress) = site.progress(&job.id) else {
        return job.steps[number].after.is_empty();
    };
    let Some(steps) = progress.open.get(&0) else {
        return false;
    };
    let mut before = job.steps[number].after.iter();
    before.all(|step| steps[step].is_done()) && !StepProgress::is_done(&steps[number])
}

/// Whether what may start together of a step fits twice. Tasks run slower off their rack, but they do run, so that all racks count.
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
