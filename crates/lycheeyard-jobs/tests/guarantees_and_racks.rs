//! Guaranteed jobs that are to run on one rack, while no rack has the room: the guarantee comes before the rack.

mod support;

use lycheeyard_jobs::{Job, Step};
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, URGENT, assert_no_violations, gang, id, job, organisation, policy, rack,
    secs, site_with, step,
};

/// The time within which an urgent job inside its guarantee has to begin, on workers that need 900 ms for a stop.
const RECLAIM_LIMIT: Duration = Duration::from_millis(3400);
/// Longer than any limit, so that nothing ends by itself.
const LONG_MS: u64 = 60_000;

/// A site whose accelerators are all used by tasks of the lowest priority.
fn full_site(racks: usize, per_rack: usize, guarantees: &[(&str, u32)]) -> SimulatedSite {
    let mut policy = policy();
    for &(owner, workers) in guarantees {
        let guarantee = (organisation(owner), workers * ACCELERATORS);
        policy.guarantees.extend([guarantee]);
    }
    let mut site = site_with(racks, per_rack, policy);
    let tasks = u32::try_from(racks * per_rack).expect("few workers") * ACCELERATORS;
    site.submit(job(&site, "bulk", BULK, vec![step(tasks, 1, LONG_MS)]));
    site.advance(secs(1));
    site
}

fn urgent(site: &SimulatedSite, name: &str, owner: &str, step: Step) -> Job {
    Job {
        organisation: organisation(owner),
        ..job(site, name, URGENT, vec![step])
    }
}

/// Submits a job of an organisation on a rack, which runs on.
fn occupy(site: &mut SimulatedSite, owner: &str, rack_number: usize, workers: u32) {
    let step = Step {
        data_rack: Some(rack(rack_number)),
        ..gang(workers, ACCELERATORS, LONG_MS)
    };
    let name = format!("job-of-{owner}");
    site.submit(urgent(site, &name, owner, step));
    site.advance(secs(2));
    assert!(site.begun_at.contains_key(&id(&name)), "{name}");
}

/// Submits a job of the owner, and asserts that it begins in time.
fn assert_begins_in_time(site: &mut SimulatedSite, step: Step) {
    let submitted_at = site.now.wall;
    site.submit(urgent(site, "owner", "owner", step));
    site.advance(secs(10));
    let begun_at = site.begun_at.get(&id("owner"));
    let begun = begun_at.map(|at| at.since(submitted_at));
    assert!(
        begun.is_some_and(|begun| begun < RECLAIM_LIMIT),
        "{begun:?}"
    );
    assert_no_violations(site);
}

// Guards against a guaranteed gang that is wider than each rack, and for which nothing is ever stopped.
#[test]
fn guaranteed_gang_wider_than_each_rack_begins_in_time() {
    let mut site = full_site(3, 2, &[("owner", 3)]);
    let wide = Step {
        same_rack: true,
        ..gang(3, ACCELERATORS, 2000)
    };
    assert_begins_in_time(&mut site, wide);
}

// Guards against a guaranteed gang that waits for a rack, although guaranteed jobs of others hold a part of each.
#[test]
fn guaranteed_gang_begins_in_time_although_others_hold_a_part_of_each_rack() {
    let mut site = full_site(2, 2, &[("first", 1), ("second", 1), ("owner", 2)]);
    occupy(&mut site, "first", 0, 1);
    occupy(&mut site, "second", 1, 1);
    let tight = Step {
        same_rack: true,
        ..gang(2, ACCELERATORS, 2000)
    };
    assert_begins_in_time(&mut site, tight);
}

// Guards against a guaranteed job that waits for the rack of its data, which a guaranteed job of another organisation holds.
#[test]
fn guaranteed_job_begins_in_time_although_another_holds_the_rack_of_its_data() {
    let mut site = full_site(2, 2, &[("first", 2), ("owner", 1)]);
    occupy(&mut site, "first", 0, 2);
    let local = Step {
        data_rack: Some(rack(0)),
        ..step(2, 4, 5000)
    };
    assert_begins_in_time(&mut site, local);
}

// Guards against a gang that is spread over racks, where it is slow, although runs can be stopped for it on one rack.
#[test]
fn guaranteed_gang_stays_on_one_rack_where_runs_can_be_stopped() {
    let mut site = full_site(2, 2, &[("first", 1), ("owner", 2)]);
    occupy(&mut site, "first", 0, 1);
    let tight = Step {
        same_rack: true,
        ..gang(2, ACCELERATORS, 20_000)
    };
    assert_begins_in_time(&mut site, tight);
    let workers = site.workers.values();
    let with_owner =
        workers.filter(|worker| worker.tasks().any(|task| task.step.job == id("owner")));
    let mut racks: Vec<_> = with_owner.map(|worker| worker.info.rack.clone()).collect();
    racks.dedup();
    assert_eq!(racks, [rack(1)]);
}
