//! For how long the runs of workers outlive the term of their holder, by the longest lease that workers grant.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::{Fleet, first_worker, job, remove_first_entry, step};
use tokio::time::{Instant, sleep};

/// Longer than any test.
const RUN_MS: u64 = 120_000;

// Guards against a job that is kept for longer than callers are promised by a worker that is lost for good right before the holder is killed:
// a successor counts on all leases that a holder which is cut off from the store may extend.
#[rstest]
#[tokio::test(start_paused = true)]
async fn worker_that_is_lost_right_before_a_takeover_keeps_no_job_for_long(
    #[values(3, 6, 10)] lease_s: u64,
    #[values(0, 400, 1100, 2300)] lost_before_ms: u64,
) {
    const LIMIT: Duration = Duration::from_secs(14);
    const UNTIL_UNLISTED: Duration = Duration::from_secs(2);
    let fleet = Fleet::start_with_leases(2, 1, Duration::from_secs(lease_s)).await;
    let job = job("a1", RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    sleep(Duration::from_secs(5)).await;
    for instance in &fleet.instances {
        instance.store.link.silence_worker(&first_worker());
    }
    fleet.store.put("workers/w-1", b"1");
    sleep(Duration::from_millis(lost_before_ms)).await;
    fleet.kill(0);
    let killed_at = Instant::now();
    sleep(UNTIL_UNLISTED).await;
    remove_first_entry(&fleet.store).await;
    while fleet.workers.starts().len() < 2 {
        assert!(killed_at.elapsed() < LIMIT, "{:?}", killed_at.elapsed());
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}

// Guards against runs that end in an outage of the store of 9 s, whether the lease of the holder ends in it or not. Its last renewal before the
// outage is up to a third of its lease old.
#[rstest]
#[tokio::test(start_paused = true)]
async fn runs_outlive_an_outage_of_the_store(
    #[values(6, 10)] lease_s: u64,
    #[values(0, 200, 400, 600)] later_ms: u64,
    #[values(false, true)] leases_pause: bool,
) {
    let fleet = Fleet::start_with_leases(2, 3, Duration::from_secs(lease_s)).await;
    let job = job("a1", RUN_MS, vec![step(6)]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(5000 + later_ms)).await;
    if leases_pause {
        fleet.store.pause_leases();
    }
    for instance in &fleet.instances {
        instance.store.link.change(|link| link.store_silent = true);
    }
    sleep(Duration::from_secs(9)).await;
    for instance in &fleet.instances {
        instance.store.link.clear_faults();
    }
    sleep(Duration::from_secs(15)).await;
    assert_eq!(fleet.workers.running().len(), 6);
    assert_eq!(fleet.workers.starts().len(), 6);
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}

// Guards against a task that runs twice, since a holder that is cut off from the store extends leases, on a worker that only it reaches, for longer
// than its successor waits.
#[rstest]
#[tokio::test(start_paused = true)]
async fn holder_that_is_cut_off_extends_no_lease_beyond_what_its_successor_expects(
    #[values(3, 6, 10, 20)] lease_s: u64,
    #[values(0, 200, 400, 600)] later_ms: u64,
    #[values(false, true)] is_unlisted: bool,
) {
    let fleet = Fleet::start_with_leases(2, 1, Duration::from_secs(lease_s)).await;
    let job = job("a1", RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(5000 + later_ms)).await;
    fleet.store.put("workers/w-1", b"1");
    let former = &fleet.instances[0].store.link;
    former.change(|link| link.store_silent = true);
    let successor = &fleet.instances[1].store.link;
    successor.silence_worker(&first_worker());
    if is_unlisted {
        remove_first_entry(&fleet.store).await;
    }
    sleep(Duration::from_secs(40)).await;
    assert_eq!(fleet.holder(), Some(1));
    assert_eq!(fleet.workers.starts().len(), 2);
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}
