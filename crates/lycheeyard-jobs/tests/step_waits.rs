//! What the scheduler says about steps that wait while nothing of their jobs runs.
//!
//! Guards against a step that could run and does not, of which no log tells why.

mod support;

use lycheeyard_jobs::{Step, StepSet, StepWait, WaitingStep, WorkerExclusion};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker, SiteFault};
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, URGENT, first_worker, gang, id, ids, job, list_workers, organisation,
    policy, rack, secs, site, site_with, step,
};

const TICK: Duration = Duration::from_millis(10);

/// Advances second by second, as the driver asks, and returns what was named last.
fn named_after(site: &mut SimulatedSite, seconds: u64) -> Vec<WaitingStep> {
    let mut named = Vec::new();
    for _ in 0..seconds {
        site.advance(secs(1));
        named.extend(site.scheduler.take_long_waits(site.now));
    }
    named
}

fn last_wait(site: &mut SimulatedSite, seconds: u64) -> StepWait {
    let named = named_after(site, seconds).pop();
    named.expect("a step is named").wait
}

// Guards against a line for each step and look on a day on which much waits.
#[test]
fn few_steps_are_named_at_a_time_and_each_once_in_five_seconds() {
    let mut site = site(1, 1);
    site.submit(job(
        &site,
        "long",
        URGENT,
        vec![step(1, ACCELERATORS, 60_000)],
    ));
    site.advance(secs(1));
    for number in 0..20 {
        let waiting = job(
            &site,
            &format!("waits-{number}"),
            BULK,
            vec![step(1, 1, 1000)],
        );
        site.submit(waiting);
    }
    assert_eq!(named_after(&mut site, 3), []);
    let named = named_after(&mut site, 5);
    assert_eq!(named.len(), 15);
    let mut steps: Vec<_> = named.iter().map(|waiting| waiting.step.clone()).collect();
    steps.sort();
    steps.dedup();
    assert_eq!(steps.len(), 15);
    let excluded = [].into();
    assert_eq!(named[0].wait, StepWait::NoRoom { excluded });
}

// Guards against a job with something that runs, or with nothing due, that is named.
#[test]
fn steps_of_jobs_that_run_are_not_named() {
    let mut site = site(1, 1);
    let then = Step {
        after: StepSet::new([0]).expect("steps exist"),
        ..step(1, 1, 60_000)
    };
    site.submit(job(&site, "a", BULK, vec![step(12, 1, 60_000), then]));
    assert_eq!(named_after(&mut site, 20), []);
}

// Guards against a gang that waits for one member of many, without a word on which it is and for how long.
#[test]
fn gang_waits_for_the_member_on_a_silent_worker() {
    let mut site = site(1, 2);
    site.allows_missing_peers = true;
    let silent = first_worker(&site);
    let worker = site.workers.get_mut(&silent).expect("worker exists");
    worker.faults.order_delay = Some(secs(10));
    site.submit(job(&site, "a", BULK, vec![gang(2, ACCELERATORS, 30_000)]));
    site.advance(Duration::from_millis(200));
    let worker = site.workers.get_mut(&silent).expect("worker exists");
    worker.faults.is_partitioned = true;
    let wait = last_wait(&mut site, 10);
    let StepWait::RunNotEnded { worker, until, .. } = wait else {
        panic!("{wait:?}");
    };
    assert_eq!(worker.id, silent);
    assert!(until.is_some());
}

// Guards against a label whose workers are all listed and receive nothing, without a word on why.
#[test]
fn step_whose_workers_receive_nothing_tells_the_reasons() {
    let mut site = site(1, 2);
    for id in ids(&site) {
        let worker = site.workers.get_mut(&id).expect("worker exists");
        worker.info.draining = true;
    }
    list_workers(&mut site);
    site.submit(job(&site, "a", BULK, vec![step(1, 1, 1000)]));
    let excluded = [(WorkerExclusion::Leaving, 2)].into();
    let wait = last_wait(&mut site, 6);
    assert_eq!(wait, StepWait::NoWorker { excluded });
    assert_eq!(wait.to_string(), "no-worker");
    assert_eq!(wait.detail(site.now.boot), "leaving=2");
}

// Guards against a wait for one rack that looks as if there were no room.
#[test]
fn step_that_waits_for_the_rack_of_its_data_tells_so() {
    let mut site = site(2, 1);
    let near = Step {
        data_rack: Some(rack(0)),
        ..step(1, ACCELERATORS, 60_000)
    };
    site.submit(job(&site, "first", URGENT, vec![near.clone()]));
    site.advance(secs(1));
    site.submit(job(&site, "second", URGENT, vec![near]));
    assert_eq!(last_wait(&mut site, 6), StepWait::OtherRack);
}

// Guards against a wait for the headroom that looks as if there were no room.
#[test]
fn step_that_would_take_the_headroom_tells_so() {
    let mut site = site(1, 2);
    let half = job(&site, "half", BULK, vec![step(2, ACCELERATORS / 2, 60_000)]);
    site.submit(half);
    site.advance(secs(1));
    let wide = gang(2, ACCELERATORS / 2, 60_000);
    site.submit(job(&site, "wide", BULK, vec![wide]));
    let mut named = Vec::new();
    for number in 0..7 {
        let urgent = job(
            &site,
            &format!("urgent-{number}"),
            URGENT,
            vec![gang(4, 2, 200)],
        );
        site.submit(urgent);
        named.extend(named_after(&mut site, 1));
    }
    let waits: Vec<_> = named.into_iter().map(|waiting| waiting.wait).collect();
    assert_eq!(waits, [StepWait::Headroom]);
}

// Guards against a wait of which nobody can tell afterwards whether there was room.
#[test]
fn wait_tells_how_much_room_there_was() {
    let mut site = site(1, 4);
    let half = job(&site, "half", BULK, vec![gang(2, ACCELERATORS, 60_000)]);
    site.submit(half);
    site.advance(secs(1));
    let wide = job(&site, "wide", BULK, vec![gang(3, ACCELERATORS, 60_000)]);
    site.submit(wide);
    let named = named_after(&mut site, 5).pop();
    let room = named.expect("the gang is named").room;
    assert_eq!(room.times, 0);
    let capacities = site.workers.values().map(|worker| worker.info.capacity);
    let capacity: u64 = capacities.map(|size| size.weighted_cpu_milli()).sum();
    let used = site.workers.values().map(SimulatedWorker::used);
    let used: u64 = used.map(|size| size.weighted_cpu_milli()).sum();
    assert_eq!(u64::from(room.in_use.0), used * 100 / capacity);
    assert!(!room.is_ample());
}

/// A site whose job `waits` has been placed just now, after 3 s for which another one had all accelerators. Its store takes no
/// records any more.
fn site_that_has_just_placed_a_job() -> SimulatedSite {
    let mut site = site(1, 1);
    site.submit(job(
        &site,
        "long",
        URGENT,
        vec![step(1, ACCELERATORS, 4000)],
    ));
    site.advance(secs(1));
    site.submit(job(&site, "waits", BULK, vec![step(1, 1, 1000)]));
    site.advance(TICK);
    assert_eq!(site.scheduler.take_long_waits(site.now), []);
    site.advance(secs(1));
    site.inject_fault(SiteFault::StoreDown);
    let is_placed = |site: &SimulatedSite| {
        let job = id("waits");
        let mut waits = site.scheduler.step_waits(&job, site.now);
        !waits.any(|(_, wait)| matches!(wait, StepWait::NoRoom { .. }))
    };
    for _ in 0..500 {
        if is_placed(&site) {
            return site;
        }
        site.advance(TICK);
    }
    panic!("the job is not placed");
}

// Guards against a log that names the record of a job as what it waits for, when it has waited for room and begins a moment later.
#[test]
fn start_that_has_just_begun_is_not_taken_for_a_record_that_is_not_written() {
    let mut site = site_that_has_just_placed_a_job();
    let named = site.scheduler.take_long_waits(site.now).pop();
    let wait = named.expect("the step is named").wait;
    assert_eq!(wait.to_string(), "starting");
    let detail = wait.detail(site.now.boot);
    assert_eq!(detail, "waits.0.0.0@w-00 run 1 planned, for 0 ms");
}

// Guards against a worker that has just got the order being named as one that keeps the step.
#[test]
fn order_that_was_just_sent_is_a_start_that_has_begun() {
    let mut site = site_that_has_just_placed_a_job();
    while let Some(batch) = site.scheduler.take_batch(1) {
        site.scheduler.batch_committed(batch, site.now);
    }
    assert_eq!(site.scheduler.take_orders().len(), 1);
    let named = site.scheduler.take_long_waits(site.now).pop();
    let wait = named.expect("the step is named").wait;
    assert_eq!(wait.to_string(), "starting");
    let detail = wait.detail(site.now.boot);
    assert_eq!(detail, "waits.0.0.0@w-00 run 1 ordered, for 0 ms");
}

// Guards against a store that takes no records and a log that does not tell for how long.
#[test]
fn record_that_is_not_written_is_named_with_how_long_it_waits() {
    let mut site = site_that_has_just_placed_a_job();
    site.advance(secs(2));
    let named = site.scheduler.take_long_waits(site.now).pop();
    let wait = named.expect("the step is named").wait;
    assert_eq!(wait.to_string(), "record-not-durable");
    let detail = wait.detail(site.now.boot);
    assert_eq!(detail, "waits.0.0.0@w-00 run 1 planned, for 2000 ms");
}

// Guards against a wait that is logged as longer than it is, since a run was preempted between two looks of the driver.
#[test]
fn wait_is_counted_from_the_last_run_however_short() {
    let mut site = site(1, 1);
    site.submit(job(
        &site,
        "long",
        URGENT,
        vec![step(1, ACCELERATORS, 3000)],
    ));
    site.advance(secs(1));
    let short = vec![step(1, ACCELERATORS, 60_000)];
    site.submit(job(&site, "short", BULK, short));
    assert_eq!(named_after(&mut site, 1), []);
    while !site.begun_at.contains_key(&id("short")) {
        site.advance(TICK);
    }
    let begun_at = site.now.boot;
    let more = vec![step(1, ACCELERATORS, 60_000)];
    site.submit(job(&site, "more", URGENT, more));
    let named = named_after(&mut site, 10);
    let first = named.first().expect("the step is named");
    assert_eq!(first.step.job, id("short"));
    assert!(!first.since.is_past(begun_at), "{first:?}");
}

// Guards against logs that tell of a job inside its organisation's guarantee only when it is late.
#[test]
fn wait_inside_a_guarantee_is_named_once_a_second() {
    let mut policy = policy();
    for owner in ["first", "owner"] {
        let guarantee = (organisation(owner), ACCELERATORS);
        policy.guarantees.extend([guarantee]);
    }
    let mut site = site_with(1, 1, policy);
    for (owner, run_ms) in [("first", 60_000), ("owner", 1000), ("other", 1000)] {
        let mut new = job(&site, owner, URGENT, vec![step(1, ACCELERATORS, run_ms)]);
        new.organisation = organisation(owner);
        site.submit(new);
        site.advance(TICK * 10);
    }
    let mut named = Vec::new();
    for _ in 0..4 {
        site.advance(secs(1));
        named.extend(site.scheduler.take_guaranteed_waits(site.now));
    }
    assert!((3..=4).contains(&named.len()), "{named:#?}");
    for guarantee in named {
        assert_eq!(guarantee.organisation, organisation("owner"));
        assert!(matches!(guarantee.waiting.wait, StepWait::NoRoom { .. }));
        assert!(guarantee.stages.rounds_without_victims > 0);
    }
}
