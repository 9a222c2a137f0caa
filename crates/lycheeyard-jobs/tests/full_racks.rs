//! Gangs that run fast on one rack only, while each rack is partly in use: the rack is a preference, and ends with a deadline.
//!
//! Guards against a gang that waits for a rack beside room for it on several.

mod support;

use lycheeyard_jobs::{Resources, Step};
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;
use support::{
    ACCELERATORS, ORDINARY, URGENT, assert_no_violations, gang, id, job, rack, secs, site, step,
};

const RACKS: usize = 6;
/// Longer than any limit, so that nothing ends by itself.
const LONG_MS: u64 = 120_000;
/// Callers are promised that nothing of a job waits for longer beside room for it twice over, while less than half of the capacity is in use.
const LIMIT_WHILE_MOSTLY_FREE: Duration = Duration::from_secs(3);
/// The same however much is in use.
const LIMIT: Duration = Duration::from_secs(14);
/// How long preferences may keep a step from room for it twice over; a deadline that begins anew has not passed before.
const DEADLINE: Duration = Duration::from_secs(2);

/// A site of racks of four workers, some of which are in use on each rack.
fn partly_used_site(used_per_rack: u32) -> SimulatedSite {
    let mut site = site(RACKS, 4);
    for number in 0..RACKS {
        fill_workers(&mut site, number, used_per_rack);
    }
    site
}

/// Uses whole workers of a rack for long.
fn fill_workers(site: &mut SimulatedSite, rack_number: usize, workers: u32) {
    let fill = Step {
        data_rack: Some(rack(rack_number)),
        ..whole_workers(workers)
    };
    let mut name = format!("fill-{rack_number}");
    while site.begun_at.contains_key(&id(&name)) {
        name.push_str("-more");
    }
    site.submit(job(site, &name, ORDINARY, vec![fill]));
    site.advance(secs(1));
}

/// Submits work for one whole worker of a rack, beside work that is being stopped there.
fn fill_again(site: &mut SimulatedSite, rack_number: usize) {
    let fill = Step {
        data_rack: Some(rack(rack_number)),
        ..whole_workers(1)
    };
    let name = format!("refill-{rack_number}");
    site.submit(job(site, &name, ORDINARY, vec![fill]));
}

/// A step that uses whole workers for long.
fn whole_workers(count: u32) -> Step {
    Step {
        demand: Resources {
            cpu_milli: 32_000,
            memory_mb: 1000,
            accelerators: ACCELERATORS,
        },
        ..step(count, ACCELERATORS, LONG_MS)
    }
}

/// Submits a gang that wants as many whole workers of one rack, and runs for long.
fn submit_gang(site: &mut SimulatedSite, workers: u32) {
    let tight = Step {
        same_rack: true,
        ..gang(workers, ACCELERATORS, LONG_MS)
    };
    site.submit(job(site, "tight", ORDINARY, vec![tight]));
}

fn assert_begins_within(site: &mut SimulatedSite, limit: Duration) {
    site.advance(limit);
    let waits: Vec<_> = site.scheduler.step_waits(&id("tight"), site.now).collect();
    assert!(site.begun_at.contains_key(&id("tight")), "{waits:?}");
    assert_no_violations(site);
}

// Guards against LOST: a gang that is to stay on one rack has nothing running for twice its run time, on a site of which a quarter is in use.
#[test]
fn gang_leaves_its_rack_beside_room_on_others_while_most_is_free() {
    let mut site = partly_used_site(1);
    submit_gang(&mut site, 4);
    assert_begins_within(&mut site, LIMIT_WHILE_MOSTLY_FREE);
}

// Guards against the same wait while half of the site or more is in use, where it ends later.
#[test]
fn gang_leaves_its_rack_beside_room_on_others_while_half_is_in_use() {
    let mut site = partly_used_site(2);
    submit_gang(&mut site, 3);
    assert_begins_within(&mut site, LIMIT);
}

// Guards against a deadline that begins only once less than half of the site is in use, although the room was there before.
#[test]
fn wait_while_half_is_in_use_counts_once_most_is_free() {
    let mut site = partly_used_site(2);
    submit_gang(&mut site, 4);
    site.advance(secs(5));
    for number in 0..RACKS / 2 {
        site.cancel(&id(&format!("fill-{number}")));
    }
    for number in 0..RACKS / 2 {
        fill_again(&mut site, number);
    }
    assert_begins_within(&mut site, DEADLINE);
}

// Guards against a wait for a rack that is followed by one for the room which is left free for urgent work, each with a deadline of its own.
#[test]
fn preferences_do_not_add_up_their_deadlines() {
    let mut site = partly_used_site(2);
    for number in [0, 4, 5] {
        fill_workers(&mut site, number, 1);
    }
    for number in 0..8 {
        let urgent = gang(3, ACCELERATORS, 700);
        site.submit(job(
            &site,
            &format!("urgent-{number}"),
            URGENT,
            vec![urgent],
        ));
        if number == 3 {
            submit_gang(&mut site, 3);
        }
        site.advance(Duration::from_millis(1500));
    }
    assert!(!site.begun_at.contains_key(&id("tight")));
    site.cancel(&id("fill-1"));
    assert_begins_within(&mut site, DEADLINE);
    let workers = site.workers.values();
    let used = workers.filter(|worker| worker.tasks().any(|task| task.step.job == id("tight")));
    assert!(used.into_iter().all(|worker| worker.info.rack == rack(1)));
}

// Guards against gangs that are slow on several racks although one is free soon: the rack is kept until the deadline.
#[test]
fn gang_takes_a_rack_that_is_free_before_the_deadline() {
    let mut site = partly_used_site(1);
    submit_gang(&mut site, 4);
    site.advance(Duration::from_millis(500));
    site.cancel(&id("fill-3"));
    assert_begins_within(&mut site, LIMIT_WHILE_MOSTLY_FREE);
    let workers = site.workers.values();
    let used = workers.filter(|worker| worker.tasks().any(|task| task.step.job == id("tight")));
    let mut racks: Vec<_> = used.map(|worker| worker.info.rack.clone()).collect();
    racks.dedup();
    assert_eq!(racks, [rack(3)]);
}

// Guards against a gang of long tasks that is stopped as stalled again and again, and puts its workers into quarantine, since on several racks
// a percent of its work takes longer than 4 s.
#[test]
fn gang_that_is_slow_on_several_racks_is_not_taken_for_stalled() {
    let mut site = partly_used_site(1);
    let tight = Step {
        same_rack: true,
        ..gang(4, ACCELERATORS, 150_000)
    };
    site.submit(job(&site, "tight", ORDINARY, vec![tight]));
    site.advance(secs(60));
    let progress = site.progress(&id("tight")).expect("job is known");
    assert_eq!(progress.open[&0][0].tasks[0].run.0, 1);
    assert_no_violations(&site);
}
