//! What the logs say about jobs of which nothing runs beside room that their preferences do not allow.
//!
//! Guards against a record of a job that stands still from which nobody can tell what kept it from the room that callers count.

mod support;

use lycheeyard_jobs::{Resources, Step, StepWait, WaitingStep, WorkerExclusion};
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, URGENT, first_worker, gang, id, ids, job, list_workers, rack, secs, site,
    step,
};

const RARE_LABEL: &str = "rare";
const GANG_MS: u64 = 60_000;

/// Advances by a second, as the driver does between two looks, and returns what is named.
fn next_look(site: &mut SimulatedSite) -> Vec<WaitingStep> {
    site.advance(secs(1));
    site.scheduler.take_long_waits(site.now)
}

/// Advances look by look until a job is named.
fn await_named(site: &mut SimulatedSite, job: &str) -> WaitingStep {
    for _ in 0..10 {
        let mut named = next_look(site).into_iter();
        if let Some(waiting) = named.find(|waiting| waiting.step.job == id(job)) {
            return waiting;
        }
    }
    panic!("{job} is not named");
}

fn job_ids(named: &[WaitingStep]) -> Vec<&str> {
    let ids = named.iter().map(|waiting| waiting.step.job.as_str());
    ids.collect()
}

/// A step that fills a worker.
fn whole_worker() -> Step {
    Step {
        demand: Resources {
            cpu_milli: 32_000,
            memory_mb: 1000,
            accelerators: ACCELERATORS,
        },
        ..step(1, ACCELERATORS, 100_000)
    }
}

/// A site of four racks with two workers each, of which one is full.
fn site_with_half_of_each_rack_full() -> SimulatedSite {
    let mut site = site(4, 2);
    for number in 0..4 {
        let full = Step {
            data_rack: Some(rack(number)),
            ..whole_worker()
        };
        let full = job(&site, &format!("full-{number}"), URGENT, vec![full]);
        site.submit(full);
    }
    site.advance(secs(1));
    site
}

/// Submits a gang that is to stay on one rack.
fn submit_rack_gang(site: &mut SimulatedSite, name: &str) {
    let wide = Step {
        same_rack: true,
        ..gang(2, ACCELERATORS, GANG_MS)
    };
    let wide = job(site, name, BULK, vec![wide]);
    site.submit(wide);
}

/// Submits jobs for which no worker has the label.
fn submit_without_worker(site: &mut SimulatedSite, count: usize) {
    for number in 0..count {
        let rare = Step {
            required_label: Some(RARE_LABEL.to_owned()),
            ..step(1, 1, 1000)
        };
        let rare = job(site, &format!("a{number:03}"), BULK, vec![rare]);
        site.submit(rare);
    }
}

// Guards against "fits 0 times" as all that the logs say about a gang that waits for a rack beside room on others.
#[test]
fn gang_that_waits_for_a_rack_tells_the_room_on_all_racks() {
    let mut site = site_with_half_of_each_rack_full();
    submit_rack_gang(&mut site, "wide");
    let named = await_named(&mut site, "wide");
    assert_eq!(named.wait, StepWait::OtherRack);
    assert_eq!(named.room.to_string(), "fits 0 times, 50% in use");
    assert_eq!(named.room_anywhere.to_string(), "fits 2 times, 50% in use");
    assert!(named.room_anywhere.is_ample());
}

// Guards against a wait for a rack of which nobody can tell how long it may still last.
#[test]
fn gang_that_waits_for_a_rack_tells_when_it_leaves_it() {
    let mut site = site_with_half_of_each_rack_full();
    let submitted_at = site.now.boot;
    submit_rack_gang(&mut site, "wide");
    let named = await_named(&mut site, "wide");
    let ends_at = named.ends_at.expect("the wait has a deadline");
    // A planning round notes the room within 500 ms; half of the site is in use.
    assert!(submitted_at.after(secs(12)) <= ends_at);
    assert!(ends_at <= submitted_at.after(Duration::from_millis(12_500)));
    while !ends_at.is_past(site.now.boot) {
        assert!(!site.begun_at.contains_key(&id("wide")));
        site.advance(Duration::from_millis(100));
    }
    site.advance(secs(1));
    assert!(site.begun_at.contains_key(&id("wide")));
}

// Guards against lines for the jobs that have waited longest only, while others stand still beside room.
#[test]
fn jobs_beside_room_are_named_first_and_sooner() {
    let mut site = site_with_half_of_each_rack_full();
    submit_without_worker(&mut site, 20);
    site.advance(secs(1));
    assert_eq!(next_look(&mut site), []);
    submit_rack_gang(&mut site, "wide-0");
    submit_rack_gang(&mut site, "wide-1");
    assert_eq!(next_look(&mut site), []);
    assert_eq!(next_look(&mut site), []);
    let named = next_look(&mut site);
    assert_eq!(job_ids(&named), ["wide-0", "wide-1", "a000"]);
    assert_eq!(job_ids(&next_look(&mut site)), ["a001", "a002", "a003"]);
}

// Guards against a limit on the jobs that are looked at which always leaves out the same ones.
#[test]
fn job_beside_room_is_found_among_hundreds() {
    let mut site = site_with_half_of_each_rack_full();
    submit_without_worker(&mut site, 350);
    submit_rack_gang(&mut site, "wide");
    let looks = (1..10).find(|_| job_ids(&next_look(&mut site)).contains(&"wide"));
    assert!(looks.is_some_and(|looks| looks <= 6), "{looks:?}");
}

// Guards against a gang that waits for a run on a silent worker and is taken for one without room.
#[test]
fn gang_that_waits_for_a_run_tells_the_room_beside_it() {
    let mut site = site(1, 6);
    site.allows_missing_peers = true;
    let silent = first_worker(&site);
    let worker = site.workers.get_mut(&silent).expect("worker exists");
    worker.faults.order_delay = Some(secs(10));
    site.submit(job(&site, "a", BULK, vec![gang(2, ACCELERATORS, 30_000)]));
    site.advance(Duration::from_millis(200));
    let worker = site.workers.get_mut(&silent).expect("worker exists");
    worker.faults.is_partitioned = true;
    let named = await_named(&mut site, "a");
    let mut later = named.clone();
    while later.ends_at.is_none() {
        later = await_named(&mut site, "a");
    }
    for named in [named, later.clone()] {
        assert!(matches!(named.wait, StepWait::RunNotEnded { .. }));
        assert_eq!(named.room.times, 0);
        assert!(named.room_anywhere.is_ample(), "{named:?}");
    }
    let StepWait::RunNotEnded { until, .. } = later.wait else {
        panic!("{:?}", later.wait);
    };
    assert_eq!(later.ends_at, until);
}

// Guards against a wait for a worker in quarantine that looks as if there were no room, and as if nothing would end it.
#[test]
fn step_whose_worker_is_in_quarantine_tells_its_room_and_its_end() {
    let mut site = site(1, 4);
    let bad = ids(&site).remove(0);
    let worker = site.workers.get_mut(&bad).expect("worker exists");
    worker.info.labels.insert(RARE_LABEL.to_owned());
    list_workers(&mut site);
    let rare = |step| Step {
        required_label: Some(RARE_LABEL.to_owned()),
        ..step
    };
    for number in 0..3 {
        let name = format!("fails-{number}");
        site.failing_jobs.insert(id(&name));
        site.submit(job(&site, &name, BULK, vec![rare(step(1, 1, 100))]));
    }
    site.advance(Duration::from_millis(800));
    for number in 0..3 {
        let name = format!("full-{number}");
        site.submit(job(&site, &name, BULK, vec![whole_worker()]));
    }
    site.advance(Duration::from_millis(200));
    site.submit(job(&site, "sound", BULK, vec![rare(step(1, 1, 500))]));
    let named = await_named(&mut site, "sound");
    let excluded = [(WorkerExclusion::Quarantined, 1)].into();
    assert_eq!(named.wait, StepWait::NoWorker { excluded });
    assert_eq!(named.room.times, 0);
    assert_eq!(named.room_anywhere.times, ACCELERATORS as usize);
    let ends_at = named.ends_at.expect("the quarantine ends");
    assert!(!ends_at.is_past(site.now.boot));
    while !site.begun_at.contains_key(&id("sound")) {
        site.advance(Duration::from_millis(10));
    }
    let late = site.now.boot.since(ends_at);
    assert!(late < secs(1), "{late:?}");
}
