//! Random days without faults on a site that is full of other work: every urgent job inside its organisation's guarantee
//! has to begin in time.

mod support;

use lycheeyard_jobs::{Job, Step};
use lycheeyard_protocol::{OrganisationId, Timestamp};
use lycheeyard_standin::SimulatedSite;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::{collections::BTreeMap, time::Duration};
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, assert_no_violations, gang, job, organisation, policy,
    site_with, step,
};

const RACKS: usize = 1;
const WORKERS_PER_RACK: usize = 8;
const ORGANISATIONS: [&str; 3] = ["north", "south", "west"];
/// Together 60% of the site.
const GUARANTEE: u32 = 13;
/// The time within which an urgent job inside its guarantee has to begin, on workers that need 900 ms for a stop.
const RECLAIM_LIMIT: Duration = Duration::from_millis(3400);
const DAY: Duration = Duration::from_secs(30);

struct UrgentJob {
    job: Job,
    submitted_at: Timestamp,
}

impl UrgentJob {
    fn accelerators(&self) -> u32 {
        let step = &self.job.steps[0];
        step.tasks * step.demand.accelerators
    }

    fn has_ended_by(&self, site: &SimulatedSite, time: Timestamp) -> bool {
        let ended_at = site.ended_at.get(&self.job.id);
        ended_at.is_some_and(|ended_at| *ended_at <= time)
    }
}

fn random_step(rng: &mut SmallRng) -> Step {
    let accelerators = [1, 1, 2, 4][rng.random_range(0..4)];
    let tasks = rng.random_range(1..=12 / accelerators);
    let same_rack = rng.random_bool(0.8);
    Step {
        same_rack,
        ..gang(tasks, accelerators, rng.random_range(500..5000))
    }
}

fn submit_other_work(site: &mut SimulatedSite, rng: &mut SmallRng, number: usize) {
    let queue = if rng.random_bool(0.5) { BULK } else { ORDINARY };
    let accelerators = [1, 1, 2, 8][rng.random_range(0..4)];
    let other = Step {
        checkpointing: rng.random_bool(0.5),
        gang: rng.random_bool(0.3),
        ..step(rng.random_range(1..12), accelerators, 40_000)
    };
    site.submit(job(site, &format!("other-{number}"), queue, vec![other]));
}

fn submit_urgent(site: &mut SimulatedSite, rng: &mut SmallRng, number: usize) -> UrgentJob {
    let owner = ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())];
    let urgent = Job {
        organisation: organisation(owner),
        ..job(
            site,
            &format!("urgent-{number}"),
            URGENT,
            vec![random_step(rng)],
        )
    };
    site.submit(urgent.clone());
    UrgentJob {
        job: urgent,
        submitted_at: site.now.wall,
    }
}

/// Returns the jobs that began too late although all urgent jobs of their organisation that had not ended needed no more
/// than its guarantee, from their submission to the limit.
fn late_jobs(site: &SimulatedSite, urgent_jobs: &[UrgentJob]) -> Vec<String> {
    let by_owner = |owner: &OrganisationId| {
        let owner = owner.clone();
        let jobs = urgent_jobs.iter();
        jobs.filter(move |other| other.job.organisation == owner)
    };
    let late = urgent_jobs.iter().filter(|urgent| {
        let limit = urgent.submitted_at.after(RECLAIM_LIMIT);
        let open = by_owner(&urgent.job.organisation).filter(|other| {
            other.submitted_at <= limit && !other.has_ended_by(site, urgent.submitted_at)
        });
        let is_covered = open.map(UrgentJob::accelerators).sum::<u32>() <= GUARANTEE;
        let begun_at = site.begun_at.get(&urgent.job.id);
        is_covered && begun_at.is_none_or(|begun_at| *begun_at > limit)
    });
    late.map(|urgent| format!("{} of {}", urgent.job.id, urgent.job.organisation))
        .collect()
}

fn run_day(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut policy = policy();
    policy.guarantees = BTreeMap::from(ORGANISATIONS.map(|name| (organisation(name), GUARANTEE)));
    let mut site = site_with(RACKS, WORKERS_PER_RACK, policy);
    let capacity = u32::try_from(site.workers.len()).expect("few workers") * ACCELERATORS;
    let mut urgent_jobs = Vec::new();
    let mut number = 0;
    let mut most_used = 0;
    let end = site.now.boot.after(DAY);
    while !end.is_past(site.now.boot) {
        number += 1;
        submit_other_work(&mut site, &mut rng, number);
        if rng.random_bool(0.4) {
            urgent_jobs.push(submit_urgent(&mut site, &mut rng, number));
        }
        site.advance(Duration::from_millis(rng.random_range(10..500)));
        most_used = most_used.max(site.scheduler.stats().accelerators_used);
    }
    site.advance(RECLAIM_LIMIT);
    assert_no_violations(&site);
    assert!(
        most_used * 10 > capacity * 9,
        "{most_used} of {capacity} in use"
    );
    late_jobs(&site, &urgent_jobs)
}

/// Guards against a plan that leaves a guaranteed job waiting while its accelerators are lent to others.
#[rstest]
fn guaranteed_jobs_begin_in_time(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let late = run_day(seed);
    assert!(late.is_empty(), "seed {seed}: {late:?}");
}
