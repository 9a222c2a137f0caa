//! An independent review of issue 58: rules that keep a job from room in the place of a preference with a deadline.
//!
//! Guards against jobs of which nothing runs beside room for them twice over, while less than half of the capacity is in use.

mod support;

use lycheeyard_jobs::{AdvicePolicy, Resources, SchedulingPolicy, Step, StepWait};
use lycheeyard_protocol::WorkerId;
use lycheeyard_standin::{SimulatedSite, SimulatedWorker};
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, gang, id, ids, job, list_workers, organisation, policy,
    rack, secs, set_failing, site, site_with, step,
};

/// Callers are promised that nothing of a job waits for longer beside room for it twice over, while less than half of the capacity is in use.
const LIMIT_WHILE_MOSTLY_FREE: Duration = Duration::from_secs(3);
/// The same however much is in use.
const LIMIT: Duration = Duration::from_secs(14);
/// The same for a task of a long-running step beside room for it twice over, from its last run on, however much is in use.
const LONG_RUNNING_LIMIT: Duration = Duration::from_secs(9);
/// Longer than any limit, so that nothing ends by itself.
const LONG_MS: u64 = 120_000;
/// Longer than the longest quarantine.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(130);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const RARE_LABEL: &str = "rare";
/// Failures in a row that lead to the longest quarantine.
const MOST_FAILURES: usize = 8;
const ADVICE: AdvicePolicy = AdvicePolicy {
    decision_ms: 100,
    per_worker_ms: 5,
    validity_ms: 3000,
};

fn has_begun(site: &SimulatedSite, job: &str) -> bool {
    site.begun_at.contains_key(&id(job))
}

fn runs(site: &SimulatedSite, job: &str) -> bool {
    let mut tasks = site.workers.values().flat_map(SimulatedWorker::tasks);
    tasks.any(|task| task.step.job == id(job))
}

fn waits(site: &SimulatedSite, job: &str) -> Vec<StepWait> {
    let job = id(job);
    let waits = site.scheduler.step_waits(&job, site.now);
    waits.map(|(_, wait)| wait).collect()
}

/// Fails if a job begins later, and tells when it does.
fn assert_begins_within(site: &mut SimulatedSite, name: &str, limit: Duration) {
    let since = site.now.boot;
    let mut late = Vec::new();
    while !has_begun(site, name) && site.now.boot.since(since) < GIVEN_UP_AFTER {
        if late.is_empty() && site.now.boot.since(since) > limit {
            late = waits(site, name);
        }
        site.advance(LOOK_INTERVAL);
    }
    let waited = site.now.boot.since(since);
    let refused = site.refused_starts;
    assert!(
        waited <= limit + LOOK_INTERVAL,
        "begins after {waited:?}, {refused} starts refused; it waited for {late:?}"
    );
}

/// Advances until a job runs, or `limit` has passed. Returns how long that took.
fn time_without_run(site: &mut SimulatedSite, name: &str, limit: Duration) -> Duration {
    let since = site.now.boot;
    while !runs(site, name) && site.now.boot.since(since) < limit {
        site.advance(LOOK_INTERVAL);
    }
    site.now.boot.since(since)
}

/// Steps of the queue may start only on workers that the advisor allows.
fn advised(queue: &str) -> SchedulingPolicy {
    let mut policy = policy();
    let queue = queue.parse().expect("queue ID is valid");
    let queue = policy.queues.get_mut(&queue).expect("queue is configured");
    queue.advice = Some(ADVICE);
    policy
}

/// Marks workers as the only ones on which labelled steps may run.
fn label(site: &mut SimulatedSite, workers: &[WorkerId]) {
    for worker in workers {
        let worker = site.workers.get_mut(worker).expect("worker exists");
        worker.info.labels.insert(RARE_LABEL.to_owned());
    }
    list_workers(site);
}

fn labelled(step: Step) -> Step {
    Step {
        required_label: Some(RARE_LABEL.to_owned()),
        ..step
    }
}

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

fn on_rack(number: usize, step: Step) -> Step {
    Step {
        data_rack: Some(rack(number)),
        ..step
    }
}

/// Puts labelled workers into the longest quarantine: all that they run fails for a time. With `tries`, so does the first
/// run of a job that is not cancelled.
fn quarantine(site: &mut SimulatedSite, workers: &[WorkerId], tries: bool) {
    label(site, workers);
    set_failing(site, workers, true);
    if tries {
        submit_labelled(site, "tried");
        site.advance(Duration::from_millis(100));
        assert!(runs(site, "tried"));
    }
    let names: Vec<String> = (0..MOST_FAILURES * workers.len())
        .map(|number| format!("fails-{number}"))
        .collect();
    for name in &names {
        let failing = job(site, name, ORDINARY, vec![labelled(step(1, 1, 100))]);
        site.submit(failing);
    }
    site.advance(Duration::from_millis(800));
    for name in &names {
        site.cancel(&id(name));
    }
    site.advance(Duration::from_millis(200));
    set_failing(site, workers, false);
}

fn submit_labelled(site: &mut SimulatedSite, name: &str) {
    let sound = labelled(step(1, 1, 500));
    site.submit(job(site, name, BULK, vec![sound]));
}

// Guards against a step that is passed over in each round, since one that may not use the same workers, on which it failed, did not fit.
#[test]
fn step_is_not_passed_over_for_one_that_avoids_the_workers() {
    let mut site = site(1, 4);
    let rare = ids(&site).remove(0);
    quarantine(&mut site, &[rare], true);
    assert!(!runs(&site, "tried"));
    submit_labelled(&mut site, "sound");
    assert_begins_within(&mut site, "sound", LIMIT_WHILE_MOSTLY_FREE);
}

// The same without the other step, which holds.
#[test]
fn step_alone_starts_on_workers_in_quarantine() {
    let mut site = site(1, 4);
    let rare = ids(&site).remove(0);
    quarantine(&mut site, &[rare], false);
    submit_labelled(&mut site, "sound");
    assert_begins_within(&mut site, "sound", LIMIT_WHILE_MOSTLY_FREE);
}

// Guards against a step that has failed on the workers with its label, and never starts there while they are in quarantine.
#[test]
fn step_starts_where_it_failed_if_there_is_no_other_room() {
    let mut site = site(1, 4);
    let rare = ids(&site).remove(0);
    quarantine(&mut site, &[rare], true);
    assert!(!runs(&site, "tried"));
    let waited = time_without_run(&mut site, "tried", GIVEN_UP_AFTER);
    assert!(waited <= LIMIT, "{waited:?}");
}

// Guards against a step that may start with a ticket only, for workers about which the advisor is not asked while they are in quarantine.
#[test]
fn advised_step_starts_on_workers_in_quarantine() {
    let mut site = site_with(1, 4, advised(BULK));
    let rare = ids(&site).remove(0);
    quarantine(&mut site, &[rare], false);
    submit_labelled(&mut site, "sound");
    assert_begins_within(&mut site, "sound", LIMIT);
}

// Guards against a step that starts again and again on a worker in quarantine which refuses it, beside one that would run it.
#[test]
fn step_refused_by_a_worker_in_quarantine_starts_on_another() {
    let mut site = site(1, 4);
    let rare = ids(&site)[..2].to_vec();
    quarantine(&mut site, &rare, false);
    let full = Resources {
        accelerators: 0,
        ..site.workers[&rare[0]].info.capacity
    };
    site.resize_worker(&rare[0], full);
    submit_labelled(&mut site, "sound");
    assert_begins_within(&mut site, "sound", LIMIT);
    assert!(site.refused_starts < 20, "{} refused", site.refused_starts);
}

// Guards against room that is counted on a worker which is over its capacity, where nothing may start, in the place of room elsewhere.
#[test]
fn step_leaves_a_rack_whose_worker_is_over_its_capacity() {
    let mut site = site(4, 1);
    let first = ids(&site).remove(0);
    let fill = on_rack(0, step(1, ACCELERATORS, LONG_MS));
    site.submit(job(&site, "fill", BULK, vec![fill]));
    site.advance(secs(1));
    let worker = site.workers.get_mut(&first).expect("worker exists");
    worker.enforces_capacity = false;
    let shrunk = Resources {
        accelerators: ACCELERATORS / 2,
        ..site.workers[&first].info.capacity
    };
    site.resize_worker(&first, shrunk);
    site.list_worker(&first);
    site.advance(secs(5));
    assert!(runs(&site, "fill"));
    let near = on_rack(0, step(1, 0, 30_000));
    site.submit(job(&site, "near", BULK, vec![near]));
    assert_begins_within(&mut site, "near", LIMIT);
}

// Guards against a long-running task that waits for the rack of its data beside empty racks, since half of the service is in use.
#[test]
fn long_running_task_leaves_the_rack_of_its_data_in_time() {
    let mut site = site(4, 1);
    for number in 0..2 {
        let full = on_rack(number, whole_workers(1));
        site.submit(job(&site, &format!("full-{number}"), BULK, vec![full]));
    }
    site.advance(secs(1));
    let lasting = Step {
        long_running: true,
        ..on_rack(0, step(1, 1, 500))
    };
    site.submit(job(&site, "lasting", ORDINARY, vec![lasting]));
    assert_begins_within(&mut site, "lasting", LONG_RUNNING_LIMIT);
}

// Guards against a deadline of a busy service on one that is mostly free, since half of its workers are about to leave, and idle.
#[test]
fn gang_leaves_its_rack_beside_idle_workers_that_drain() {
    let mut site = site(8, 4);
    for number in 0..4 {
        let full = on_rack(number, whole_workers(2));
        site.submit(job(&site, &format!("full-{number}"), BULK, vec![full]));
    }
    site.advance(secs(1));
    for worker in ids(&site).split_off(16) {
        let worker = site.workers.get_mut(&worker).expect("worker exists");
        worker.info.draining = true;
    }
    list_workers(&mut site);
    let tight = Step {
        same_rack: true,
        ..gang(3, ACCELERATORS, LONG_MS)
    };
    site.submit(job(&site, "tight", ORDINARY, vec![tight]));
    assert_begins_within(&mut site, "tight", LIMIT_WHILE_MOSTLY_FREE);
}

// Guards against a gang that may start with tickets only, and has none for the other racks when its deadline passes.
#[test]
fn advised_gang_leaves_its_rack() {
    let mut site = site_with(6, 4, advised(ORDINARY));
    for number in 0..6 {
        let full = on_rack(number, whole_workers(1));
        site.submit(job(&site, &format!("full-{number}"), BULK, vec![full]));
    }
    site.advance(secs(1));
    let tight = Step {
        same_rack: true,
        ..gang(4, ACCELERATORS, LONG_MS)
    };
    site.submit(job(&site, "tight", ORDINARY, vec![tight]));
    assert_begins_within(&mut site, "tight", LIMIT_WHILE_MOSTLY_FREE);
}

/// A site of racks of four workers, one of which is in use on each, and a guarantee of four workers.
fn guaranteed_site_of_racks() -> SimulatedSite {
    let guarantees = [(organisation("owner"), 4 * ACCELERATORS)];
    let policy = SchedulingPolicy {
        guarantees: guarantees.into(),
        ..policy()
    };
    let mut site = site_with(4, 4, policy);
    for number in (0..4).rev() {
        let fill = on_rack(number, whole_workers(1));
        site.submit(job(&site, &format!("fill-{number}"), BULK, vec![fill]));
        site.advance(secs(1));
    }
    site
}

/// Submits a gang of an organisation that is to stay on one rack, for which a run has to be stopped there.
fn submit_rack_gang(site: &mut SimulatedSite, owner: &str) {
    let tight = Step {
        same_rack: true,
        ..gang(4, ACCELERATORS, LONG_MS)
    };
    let mut tight = job(site, "tight", URGENT, vec![tight]);
    tight.organisation = organisation(owner);
    site.submit(tight);
}

/// Delays all further orders of the workers on which jobs run that fill a part of a rack.
fn delay_stops(site: &mut SimulatedSite, racks: &[usize]) {
    for number in racks {
        let fill = id(&format!("fill-{number}"));
        let mut workers = site.workers.values_mut();
        let worker = workers.find(|worker| worker.tasks().any(|task| task.step.job == fill));
        let worker = worker.expect("job runs");
        worker.faults.order_delay = Some(secs(120));
    }
}

// Guards against a guaranteed gang whose victim does not end, and for which the same rack is reserved again and again.
#[test]
fn guaranteed_gang_whose_victim_does_not_end_takes_other_room() {
    let mut site = guaranteed_site_of_racks();
    delay_stops(&mut site, &[0]);
    submit_rack_gang(&mut site, "owner");
    assert_begins_within(&mut site, "tight", LIMIT);
}

// The same for an urgent gang without a guarantee, where no victim ends.
#[test]
fn urgent_gang_whose_victims_do_not_end_leaves_its_rack() {
    let mut site = guaranteed_site_of_racks();
    delay_stops(&mut site, &[0, 1, 2, 3]);
    submit_rack_gang(&mut site, "other");
    assert_begins_within(&mut site, "tight", LIMIT);
}
