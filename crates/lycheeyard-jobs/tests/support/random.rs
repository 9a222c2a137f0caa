//! Random jobs and faults, on a site of [`RACKS`] racks with [`PER_RACK`] workers each.

use super::{BULK, ORDINARY, URGENT, job, organisation, rack, step};
use lycheeyard_jobs::{Job, Step, StepSet};
use lycheeyard_protocol::Timestamp;
use lycheeyard_standin::{SimulatedSite, SiteFault};
use rand::{Rng, rngs::SmallRng};
use std::{env, ops::Range, time::Duration};

pub const RACKS: usize = 3;
pub const PER_RACK: usize = 3;

fn random_step(rng: &mut SmallRng) -> Step {
    let gang = rng.random_bool(0.4);
    let tasks = rng.random_range(1..6);
    let accelerators = *[1, 1, 2, 4, 8]
        .get(rng.random_range(0..5))
        .expect("index is below the number of sizes");
    Step {
        gang,
        same_rack: gang && rng.random_bool(0.5),
        checkpointing: rng.random_bool(0.4),
        data_rack: rng
            .random_bool(0.2)
            .then(|| rack(rng.random_range(0..RACKS))),
        spread_limit: (!gang && rng.random_bool(0.2)).then_some(2),
        ..step(tasks, accelerators, rng.random_range(300..4000))
    }
}

/// A job of one or two random steps.
pub fn random_job(site: &SimulatedSite, rng: &mut SmallRng, number: u64) -> Job {
    let queue = [URGENT, ORDINARY, BULK][rng.random_range(0..3)];
    let mut steps = vec![random_step(rng)];
    if rng.random_bool(0.3) {
        steps.push(Step {
            after: StepSet::new([0]).expect("steps exist"),
            ..random_step(rng)
        });
    }
    let mut new = job(site, &format!("job-{number}"), queue, steps);
    new.organisation = organisation(["north", "south"][rng.random_range(0..2)]);
    // The clocks of the instances that accept jobs differ from the clock of the scheduling instance.
    let skew_ms = rng.random_range(0..6000);
    new.submitted_at = Timestamp(site.now.wall.0 + skew_ms - 3000);
    new
}

/// Submits a job of one or two random steps.
pub fn submit_random(site: &mut SimulatedSite, rng: &mut SmallRng, number: u64) {
    let new = random_job(site, rng, number);
    if rng.random_bool(0.05) {
        site.failing_jobs.insert(new.id.clone());
    }
    site.submit(new);
}

/// Injects a fault of a random kind at a random worker or at the whole site.
pub fn inject_random_fault(site: &mut SimulatedSite, rng: &mut SmallRng) {
    let number = rng.random_range(0..RACKS * PER_RACK);
    let worker = site
        .workers
        .values_mut()
        .nth(number)
        .expect("worker exists");
    match rng.random_range(0..8) {
        0 => worker.faults.is_partitioned = !worker.faults.is_partitioned,
        1 => worker.faults.hangs = !worker.faults.hangs,
        2 => worker.faults.slowdown = rng.random_range(1.0..5.0),
        3 => worker.faults.order_delay = Some(Duration::from_millis(rng.random_range(200..6000))),
        4 => worker.faults = lycheeyard_standin::WorkerFaults::default(),
        5 => site.inject_fault(SiteFault::Takeover),
        6 => site.inject_fault(SiteFault::StoreDown),
        _ => site.inject_fault(SiteFault::StoreUp),
    }
}

/// Ends all faults.
pub fn clear_faults(site: &mut SimulatedSite) {
    site.inject_fault(SiteFault::StoreUp);
    site.advisor.is_silent = false;
    for worker in site.workers.values_mut() {
        worker.faults = lycheeyard_standin::WorkerFaults::default();
    }
}

/// The seeds that an environment variable gives as `FIRST..END`, or those that CI plays.
pub fn seeds(variable: &str) -> Range<u64> {
    let range = env::var(variable).unwrap_or_else(|_| "0..6".to_owned());
    let (first, end) = range
        .split_once("..")
        .expect("range has the form FIRST..END");
    first.parse().expect("number")..end.parse().expect("number")
}
