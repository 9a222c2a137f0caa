//! Jobs that fit twice or more beside a service that is in use.
//!
//! Guards against preferences that keep a job from room for as long as they hold: the headroom and the drains.

mod support;

use lycheeyard_jobs::Job;
use lycheeyard_standin::{SimulatedSite, SimulatedWorker};
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, assert_no_violations, gang, id, job, secs, site, step,
};

const WORKERS: usize = 24;
/// Callers are promised that a job which fits twice has something running within this time.
const LIMIT: Duration = Duration::from_secs(3);
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// An urgent gang of two whole workers arrives this often, and runs for as long.
const URGENT_INTERVAL: Duration = Duration::from_millis(800);

/// Urgent gangs that arrive one after another.
struct UrgentTraffic {
    next_at: Duration,
    elapsed: Duration,
    number: u32,
}

impl UrgentTraffic {
    fn new() -> Self {
        Self {
            next_at: Duration::ZERO,
            elapsed: Duration::ZERO,
            number: 0,
        }
    }

    fn advance(&mut self, site: &mut SimulatedSite) {
        if self.elapsed >= self.next_at {
            let step = gang(2, ACCELERATORS, 800);
            let name = format!("urgent-{}", self.number);
            site.submit(job(site, &name, URGENT, vec![step]));
            self.number += 1;
            self.next_at += URGENT_INTERVAL;
        }
        site.advance(LOOK_INTERVAL);
        self.elapsed += LOOK_INTERVAL;
    }

    fn advance_by(&mut self, site: &mut SimulatedSite, time: Duration) {
        let until = self.elapsed + time;
        while self.elapsed < until {
            self.advance(site);
        }
    }
}

/// A site of which a little over half is in use, with urgent traffic for which all of the rest is expected to be needed.
fn busy_site() -> (SimulatedSite, UrgentTraffic) {
    let mut site = site(1, WORKERS);
    let more_than_half = u32::try_from(WORKERS / 2 + 1).expect("number is small");
    let half = step(more_than_half, ACCELERATORS, 120_000);
    let half = job(&site, "half", BULK, vec![half]);
    site.submit(half);
    site.advance(secs(1));
    let mut traffic = UrgentTraffic::new();
    traffic.advance_by(&mut site, secs(10));
    (site, traffic)
}

fn has_begun(site: &SimulatedSite, job: &Job) -> bool {
    site.begun_at.contains_key(&job.id)
}

fn is_at_work(site: &SimulatedSite, job: &Job) -> bool {
    let mut running = site.workers.values().flat_map(SimulatedWorker::tasks);
    running.any(|task| task.step.job == job.id)
}

// Guards against ordinary jobs that wait beside free room for as long as urgent jobs arrive.
#[test]
fn jobs_start_beside_ample_room_while_urgent_jobs_arrive() {
    let (mut site, mut traffic) = busy_site();
    let steps = [
        ("task", ORDINARY, step(1, 1, 10_000)),
        ("tasks", BULK, step(12, 1, 10_000)),
        ("gang", ORDINARY, gang(4, 2, 10_000)),
        ("worker", ORDINARY, step(1, ACCELERATORS, 10_000)),
    ];
    let jobs = steps.map(|(name, queue, step)| job(&site, name, queue, vec![step]));
    for job in &jobs {
        site.submit(job.clone());
    }
    traffic.advance_by(&mut site, LIMIT);
    let waiting = jobs.iter().filter(|job| !has_begun(&site, job));
    let waiting: Vec<_> = waiting.map(|job| job.id.to_string()).collect();
    assert_eq!(waiting, [""; 0]);
    assert_no_violations(&site);
}

// Guards against a headroom that the jobs which have waited fill at once: urgent gangs then stop other work for each of their tasks.
#[test]
fn urgent_jobs_find_room_beside_jobs_that_have_waited() {
    let (mut site, mut traffic) = busy_site();
    for number in 0..40 {
        let name = format!("waiting-{number}");
        let step = step(4, 1, 10_000);
        site.submit(job(&site, &name, BULK, vec![step]));
    }
    traffic.advance_by(&mut site, secs(20));
    let begun = (0..traffic.number - 1).filter(|number| {
        let urgent = id(&format!("urgent-{number}"));
        site.begun_at.contains_key(&urgent)
    });
    assert_eq!(begun.count(), traffic.number as usize - 1);
    assert_no_violations(&site);
}

// Guards against a deadline that begins anew whenever the room is gone for a moment, between the start of one run and the end of
// another.
#[test]
fn room_that_is_gone_for_a_moment_does_not_prolong_the_wait() {
    let (mut site, mut traffic) = busy_site();
    let waiting = job(&site, "waiting", ORDINARY, vec![step(1, 1, 10_000)]);
    site.submit(waiting.clone());
    traffic.advance_by(&mut site, secs(1));
    // All workers that are free, for less than a planning interval.
    for number in 0..WORKERS {
        let name = format!("short-{number}");
        let short = step(1, ACCELERATORS, 100);
        site.submit(job(&site, &name, URGENT, vec![short]));
    }
    traffic.advance_by(&mut site, secs(2));
    assert!(has_begun(&site, &waiting));
    assert_no_violations(&site);
}

// Guards against a wait that begins anew with a start that urgent work takes back at once.
#[test]
fn start_that_is_taken_back_at_once_does_not_prolong_the_wait() {
    let (mut site, mut traffic) = busy_site();
    let whole_workers = |count| vec![step(count, ACCELERATORS, 60_000)];
    let waiting = job(&site, "waiting", ORDINARY, vec![step(1, 1, 10_000)]);
    site.submit(waiting.clone());
    traffic.advance_by(&mut site, Duration::from_millis(1400));
    // For a moment less than half is in use, and the last of the urgent jobs ends.
    site.cancel(&id("half"));
    site.advance(Duration::from_millis(850));
    assert!(is_at_work(&site, &waiting));
    site.submit(job(&site, "half-again", URGENT, whole_workers(13)));
    let all_others = vec![gang(11, ACCELERATORS, 100)];
    site.submit(job(&site, "short", URGENT, all_others));
    site.advance(Duration::from_millis(200));
    assert!(!is_at_work(&site, &waiting));
    traffic.advance_by(&mut site, Duration::from_millis(600));
    assert!(is_at_work(&site, &waiting));
    assert_no_violations(&site);
}

// Guards against a wide step that waits anew for each of its tasks: it has waited once, and goes on from there.
#[test]
fn step_that_has_waited_runs_on_while_urgent_jobs_arrive() {
    let (mut site, mut traffic) = busy_site();
    let tasks = job(&site, "tasks", BULK, vec![step(8, 1, 1500)]);
    site.submit(tasks.clone());
    traffic.advance_by(&mut site, LIMIT);
    assert!(has_begun(&site, &tasks));
    let mut idle = Duration::ZERO;
    let mut longest_idle = Duration::ZERO;
    let begun_at = traffic.elapsed;
    while !site.state(&tasks.id).is_final() {
        idle = if is_at_work(&site, &tasks) {
            Duration::ZERO
        } else {
            idle + LOOK_INTERVAL
        };
        longest_idle = longest_idle.max(idle);
        traffic.advance(&mut site);
        assert!(traffic.elapsed < begun_at + secs(60), "not done");
    }
    let took = traffic.elapsed.saturating_sub(begun_at);
    // A planning interval, and a start.
    assert!(
        longest_idle <= Duration::from_millis(700) && took < 8 * secs(2),
        "idle for {longest_idle:?}, done after {took:?}"
    );
    assert_no_violations(&site);
}
