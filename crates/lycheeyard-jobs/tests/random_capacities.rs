//! Random jobs and random faults while the capacities of workers shrink and grow at random: no start brings a worker that does
//! not reject it over its capacity, and all jobs end.

mod support;

use lycheeyard_jobs::Resources;
use lycheeyard_protocol::WorkerId;
use lycheeyard_standin::SimulatedSite;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::{env, ops::Range, time::Duration};
use support::{
    ACCELERATORS, organisation, policy,
    random::{PER_RACK, RACKS, clear_faults, inject_random_fault, submit_random},
    secs, site_with,
};

const TICKS: u64 = 200;
const TICK: Duration = Duration::from_millis(200);
/// The workers are listed after each this many ticks.
const LIST_TICKS: u64 = 5;
const GUARANTEE: u32 = 16;
/// Names a range of seeds to run instead of the fixed ones, such as `1000..1200`.
const SEEDS_VARIABLE: &str = "CAPACITY_SEEDS";

/// What happens beside the changes of capacities.
#[derive(Clone, Copy, Debug)]
struct Disturbances {
    faults: f64,
    restarts: f64,
    enforced: bool,
}

// Guards against starts that bring a worker over a capacity that has shrunk, and against jobs that wait for one that is gone.
#[rstest]
#[case::alone(Disturbances { faults: 0.0, restarts: 0.0, enforced: false })]
#[case::beside_faults(Disturbances { faults: 0.1, restarts: 0.0, enforced: false })]
#[case::beside_restarts(Disturbances { faults: 0.1, restarts: 0.08, enforced: false })]
#[case::enforced(Disturbances { faults: 0.1, restarts: 0.08, enforced: true })]
fn holds_invariants_when_capacities_change(#[case] disturbances: Disturbances) {
    let failed: Vec<(u64, String)> = seeds()
        .filter_map(|seed| Some((seed, run_random_load(seed, disturbances).err()?)))
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The seeds to run.
fn seeds() -> Range<u64> {
    let Ok(text) = env::var(SEEDS_VARIABLE) else {
        return 0..8;
    };
    let (first, end) = text.split_once("..").expect("range of seeds has two ends");
    let parse = |text: &str| text.parse().expect("seed is a number");
    parse(first)..parse(end)
}

/// Runs a random load; returns what went wrong.
fn run_random_load(seed: u64, disturbances: Disturbances) -> Result<(), String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut policy = policy();
    policy.guarantees.insert(organisation("north"), GUARANTEE);
    let mut site = site_with(RACKS, PER_RACK, policy);
    site.allows_missing_peers = true;
    site.record_time = Duration::from_millis(rng.random_range(0..200));
    for worker in site.workers.values_mut() {
        worker.enforces_capacity = disturbances.enforced;
    }
    let mut submitted = 0;
    for tick in 0..TICKS {
        if rng.random_bool(0.4) {
            submit_random(&mut site, &mut rng, submitted);
            submitted += 1;
        }
        if rng.random_bool(disturbances.faults) {
            inject_random_fault(&mut site, &mut rng);
        }
        if rng.random_bool(0.3) {
            resize_random_worker(&mut site, &mut rng);
        }
        if rng.random_bool(disturbances.restarts) {
            let worker = random_worker(&site, &mut rng);
            site.restart_worker(&worker);
        }
        if tick % LIST_TICKS == 0 {
            list_workers(&mut site);
        }
        site.advance(TICK);
    }
    clear_faults(&mut site);
    for id in site.workers.keys().cloned().collect::<Vec<_>>() {
        let capacity = capacity(ACCELERATORS);
        site.resize_worker(&id, capacity);
    }
    list_workers(&mut site);
    let has_settled = site.settle(secs(300));
    match site.violations.first() {
        Some(violation) => Err(format!("{violation}, {} in all", site.violations.len())),
        None if !has_settled => Err("jobs do not end".to_owned()),
        None => Ok(()),
    }
}

fn random_worker(site: &SimulatedSite, rng: &mut SmallRng) -> WorkerId {
    let number = rng.random_range(0..site.workers.len());
    let id = site.workers.keys().nth(number);
    id.expect("worker exists").clone()
}

fn resize_random_worker(site: &mut SimulatedSite, rng: &mut SmallRng) {
    let worker = random_worker(site, rng);
    let accelerators = [0, 1, 2, 4, 6, 8][rng.random_range(0..6)];
    site.resize_worker(&worker, capacity(accelerators));
}

/// The capacity of a worker that is reduced to a number of accelerators, with the other resources in proportion.
fn capacity(accelerators: u32) -> Resources {
    Resources {
        cpu_milli: 4000 * u64::from(accelerators),
        memory_mb: 16_384 * u64::from(accelerators),
        accelerators,
    }
}

fn list_workers(site: &mut SimulatedSite) {
    let workers = site.workers.values();
    let infos = workers.map(|worker| worker.info.clone()).collect();
    site.scheduler.workers_listed(infos, site.now);
}
