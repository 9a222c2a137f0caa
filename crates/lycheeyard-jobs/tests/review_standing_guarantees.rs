//! An independent review of issue 58: guaranteed urgent jobs beside gangs that a deadline has let start on several racks.

mod support;

use lycheeyard_jobs::{Job, Resources, SchedulingPolicy, Step};
use lycheeyard_standin::SimulatedSite;
use rstest::rstest;
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, assert_no_violations, gang, id, job, organisation,
    policy, rack, secs, site_with, step,
};

const RACKS: usize = 6;
const GANGS: usize = 4;
/// The time within which an urgent job inside its guarantee has to begin, on workers that need 900 ms for a stop.
const RECLAIM_LIMIT: Duration = Duration::from_millis(3400);
/// Longer than any limit, so that nothing ends by itself.
const LONG_MS: u64 = 120_000;
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

fn guaranteed_site() -> SimulatedSite {
    let guarantees = [(organisation("owner"), 4 * ACCELERATORS)];
    let policy = SchedulingPolicy {
        guarantees: guarantees.into(),
        ..policy()
    };
    site_with(RACKS, 4, policy)
}

fn whole_worker_on(rack_number: usize) -> Step {
    Step {
        data_rack: Some(rack(rack_number)),
        demand: Resources {
            cpu_milli: 32_000,
            memory_mb: 1000,
            accelerators: ACCELERATORS,
        },
        ..step(1, ACCELERATORS, LONG_MS)
    }
}

fn rack_gang() -> Step {
    Step {
        same_rack: true,
        ..gang(4, ACCELERATORS, LONG_MS)
    }
}

fn of(owner: &str, job: Job) -> Job {
    Job {
        organisation: organisation(owner),
        ..job
    }
}

/// Fills a site with gangs that leave their racks at a deadline, and advances until the first has begun.
fn fill(site: &mut SimulatedSite, queue: &str) {
    for number in 0..RACKS {
        let full = vec![whole_worker_on(number)];
        site.submit(job(site, &format!("full-{number}"), BULK, full));
    }
    site.advance(secs(1));
    for number in 0..GANGS {
        let wide = job(site, &format!("wide-{number}"), queue, vec![rack_gang()]);
        site.submit(wide);
    }
    while !site.begun_at.contains_key(&id("wide-0")) {
        site.advance(LOOK_INTERVAL);
    }
}

// Guards against guaranteed jobs that wait for gangs which deadlines have let start across the racks.
#[rstest]
fn guaranteed_gang_begins_in_time_beside_gangs_on_several_racks(
    #[values(ORDINARY, BULK)] queue: &str,
    #[values(0, 100, 500, 1000, 1900, 2500, 6000, 12_000)] after_ms: u64,
    #[values(true, false)] same_rack: bool,
) {
    let mut site = guaranteed_site();
    fill(&mut site, queue);
    site.advance(Duration::from_millis(after_ms));
    let wanted = Step {
        same_rack,
        ..gang(4, ACCELERATORS, 2000)
    };
    let owned = of("owner", job(&site, "owned", URGENT, vec![wanted]));
    let submitted_at = site.now.wall;
    site.submit(owned);
    site.advance(secs(10));
    let begun = site.begun_at.get(&id("owned"));
    let begun = begun.map(|at| at.since(submitted_at));
    assert!(
        begun.is_some_and(|begun| begun < RECLAIM_LIMIT),
        "{begun:?}"
    );
    assert_no_violations(&site);
}
