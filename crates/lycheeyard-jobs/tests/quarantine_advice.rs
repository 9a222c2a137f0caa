//! Steps that need tickets, and whose only room is on workers in quarantine.
//!
//! Guards against steps that wait for the end of a quarantine, since the advisor is not asked about its workers in time for their
//! deadlines: nothing of them ran for up to 64 s beside an idle site.

mod support;

use lycheeyard_jobs::{AdvicePolicy, SchedulingPolicy};
use lycheeyard_protocol::WorkerId;
use lycheeyard_standin::SimulatedSite;
use rstest::rstest;
use std::time::Duration;
use support::{
    BULK, ORDINARY, assert_no_violations, gang, id, ids, job, policy, secs, set_failing, site_with,
    step, worker,
};

const WORKERS: usize = 4;
/// Callers are promised that nothing of a job waits for longer beside room for it twice over, while less than half of the capacity is in use.
const LIMIT_WHILE_MOSTLY_FREE: Duration = Duration::from_secs(3);
/// The same however much is in use.
const LIMIT: Duration = Duration::from_secs(14);
/// Failures in a row that lead to the longest quarantine.
const MOST_FAILURES: usize = 8;
/// Longer than any limit, so that nothing ends by itself.
const LONG_MS: u64 = 120_000;
const VALIDITY_MS: u64 = 3000;

fn advised(validity_ms: u64) -> SchedulingPolicy {
    let mut policy = policy();
    let queue = BULK.parse().expect("queue name is valid");
    let queue = policy.queues.get_mut(&queue).expect("queue is configured");
    queue.advice = Some(AdvicePolicy {
        decision_ms: 100,
        per_worker_ms: 5,
        validity_ms,
    });
    policy
}

/// Lets workers fail all that they start, for as long as it takes to put them into quarantine.
fn quarantine(site: &mut SimulatedSite, workers: &[WorkerId], failures: usize) {
    set_failing(site, workers, true);
    let names: Vec<String> = (0..failures * WORKERS)
        .map(|number| format!("fails-{number}"))
        .collect();
    for name in &names {
        let failing = job(site, name, ORDINARY, vec![step(1, 1, 100)]);
        site.submit(failing);
    }
    site.advance(Duration::from_millis(800));
    for name in &names {
        site.cancel(&id(name));
    }
    site.advance(Duration::from_millis(200));
    set_failing(site, workers, false);
}

/// Lets the advisor allow only some workers.
fn allow(site: &mut SimulatedSite, allowed: &[WorkerId]) {
    let mut denied = ids(site);
    denied.retain(|worker| !allowed.contains(worker));
    site.advisor.denied = denied.into_iter().collect();
}

/// Returns how long the job waits for its first run, for a little longer than `limit` at most.
fn wait_of(site: &mut SimulatedSite, name: &str, limit: Duration) -> Duration {
    let submitted = site.now.boot;
    while !site.begun_at.contains_key(&id(name)) && site.now.boot.since(submitted) <= limit {
        site.advance(Duration::from_millis(50));
    }
    assert_no_violations(site);
    site.now.boot.since(submitted)
}

// Guards against a wait for the end of a quarantine, however many workers have failed, and however often.
#[rstest]
fn step_starts_on_its_only_worker(
    #[values(2, MOST_FAILURES)] failures: usize,
    #[values(1, WORKERS)] failing: usize,
) {
    let mut site = site_with(1, WORKERS, advised(VALIDITY_MS));
    let workers = ids(&site);
    quarantine(&mut site, &workers[..failing], failures);
    allow(&mut site, &workers[..1]);
    let sound = job(&site, "sound", BULK, vec![step(1, 1, 500)]);
    site.submit(sound);
    let waited = wait_of(&mut site, "sound", LIMIT_WHILE_MOSTLY_FREE);
    assert!(waited <= LIMIT_WHILE_MOSTLY_FREE, "{waited:?}");
}

// Guards against tickets that have expired when the deadline passes, and are not renewed.
#[rstest]
fn step_starts_with_tickets_that_expire_soon(#[values(300, 1000)] validity_ms: u64) {
    let mut site = site_with(1, WORKERS, advised(validity_ms));
    let workers = ids(&site);
    quarantine(&mut site, &workers[..1], MOST_FAILURES);
    allow(&mut site, &workers[..1]);
    let sound = job(&site, "sound", BULK, vec![step(1, 1, 500)]);
    site.submit(sound);
    let waited = wait_of(&mut site, "sound", LIMIT_WHILE_MOSTLY_FREE);
    assert!(waited <= LIMIT_WHILE_MOSTLY_FREE, "{waited:?}");
    assert_eq!(site.advisor.refused_tickets, 0);
}

// Guards against a deadline that begins with the answer of the advisor only: the step starts soon after it.
#[test]
fn step_starts_once_a_silent_advisor_answers() {
    let mut site = site_with(1, WORKERS, advised(VALIDITY_MS));
    let workers = ids(&site);
    quarantine(&mut site, &workers[..1], MOST_FAILURES);
    allow(&mut site, &workers[..1]);
    site.advisor.is_silent = true;
    let sound = job(&site, "sound", BULK, vec![step(1, 1, 500)]);
    site.submit(sound);
    site.advance(secs(5));
    site.advisor.is_silent = false;
    // One request that times out, a pause, two that are answered, and the rounds between them.
    let waited = wait_of(&mut site, "sound", LIMIT_WHILE_MOSTLY_FREE);
    assert!(waited <= LIMIT_WHILE_MOSTLY_FREE, "{waited:?}");
}

// Guards against a gang that has tickets for some of its workers only, since the others are in quarantine.
#[test]
fn gang_starts_on_workers_of_which_some_are_in_quarantine() {
    let mut site = site_with(1, WORKERS, advised(VALIDITY_MS));
    let workers = ids(&site);
    quarantine(&mut site, &workers[..1], MOST_FAILURES);
    allow(&mut site, &workers[..2]);
    let together = job(&site, "together", BULK, vec![gang(2, 5, 500)]);
    site.submit(together);
    let waited = wait_of(&mut site, "together", LIMIT);
    assert!(waited <= LIMIT, "{waited:?}");
}

// Guards against an advisor that is not asked about workers in quarantine, since it allows others, which are full.
#[test]
fn step_starts_beside_full_workers() {
    let mut site = site_with(1, WORKERS, advised(VALIDITY_MS));
    let workers = ids(&site);
    quarantine(&mut site, &workers[..1], MOST_FAILURES);
    let wide = step(3, 8, LONG_MS);
    let fill = job(&site, "fill", ORDINARY, vec![wide]);
    site.submit(fill);
    site.advance(secs(1));
    let sound = job(&site, "sound", BULK, vec![step(1, 1, 500)]);
    site.submit(sound);
    let waited = wait_of(&mut site, "sound", LIMIT);
    assert!(waited <= LIMIT, "{waited:?}");
}

// Guards against a wait that grows beyond its limit with the number of workers about which the advisor is asked.
#[test]
fn step_starts_on_its_only_worker_of_a_large_site() {
    let mut site = site_with(40, 8, advised(VALIDITY_MS));
    let workers = ids(&site);
    quarantine(&mut site, &workers, 40 * MOST_FAILURES);
    allow(&mut site, &workers[..1]);
    let sound = job(&site, "sound", BULK, vec![step(1, 1, 500)]);
    site.submit(sound);
    let waited = wait_of(&mut site, "sound", LIMIT);
    assert!(waited <= LIMIT, "{waited:?}");
}

// Guards against a step that does not start with its ticket by the deadline, since a worker about which nobody could ask might be better.
#[test]
fn step_starts_beside_a_worker_without_advice_while_the_advisor_is_silent() {
    let mut site = site_with(1, WORKERS, advised(60_000));
    let workers = ids(&site);
    quarantine(&mut site, &workers[..1], MOST_FAILURES);
    allow(&mut site, &workers[..1]);
    let sound = job(&site, "sound", BULK, vec![step(1, 1, 500)]);
    site.submit(sound);
    site.advance(secs(1));
    site.advisor.is_silent = true;
    site.add_worker(worker(WORKERS, 0));
    let waited = wait_of(&mut site, "sound", secs(2));
    assert!(waited <= secs(2), "{waited:?}");
    assert_eq!(site.advisor.refused_tickets, 0);
}
