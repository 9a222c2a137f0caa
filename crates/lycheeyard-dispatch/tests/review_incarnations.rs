//! Conclusions about incarnations of workers that their evidence does not prove.

mod support;

use lycheeyard_protocol::WorkerId;
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, job, step};
use tokio::time::sleep;

// Guards against a run that counts as over with the leases that the former incarnation of its worker can have: the next one, which
// nobody has seen, has confirmed the start, and late report requests extend its lease.
#[rstest]
#[tokio::test(start_paused = true)]
async fn run_that_an_unseen_incarnation_has_confirmed_is_not_over_with_the_lease(
    #[values(0, 500, 1000)] phase_ms: u64,
    #[values(false, true)] restarted: bool,
) {
    let worker: WorkerId = "w-0".parse().expect("worker id is valid");
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(60) + Duration::from_millis(phase_ms)).await;
    fleet
        .workers
        .set_late_reports(&worker, Some(Duration::from_secs(5)));
    // The request that is under way is answered.
    sleep(Duration::from_millis(1600)).await;
    if restarted {
        fleet.workers.restart(&worker);
    }
    let job = job("a1", 20_000, vec![step(1)]);
    fleet.submit(&job).await;
    fleet.await_first_start(&job.id).await;
    fleet.store.put("workers/w-1", b"1");
    sleep(Duration::from_secs(18)).await;
    let violations = fleet.workers.violations();
    assert!(violations.is_empty(), "{violations:?}");
}

/// Replaces the entry of a worker for a moment by one that cannot be read, as another writer may do.
async fn blink(fleet: &Fleet) {
    fleet.store.put("workers/w-0", b"unreadable");
    sleep(Duration::from_millis(600)).await;
    fleet.store.put("workers/w-0", b"1");
    sleep(Duration::from_secs(5)).await;
}

// Guards against a worker that is not used any more, although its entry is there again, since it was away for a moment twice.
#[rstest]
#[tokio::test(start_paused = true)]
async fn worker_whose_entry_was_away_is_used_again(#[values(0, 1, 2)] times: u32) {
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(2)).await;
    for _ in 0..times {
        blink(&fleet).await;
    }
    let job = job("a1", 300, vec![step(1)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, Duration::from_secs(20)).await;
}

// Guards against tasks that are placed on a worker that has announced that it leaves, since its entry was away before: its orders
// are withheld, and the tasks do not start elsewhere.
#[rstest]
#[tokio::test(start_paused = true)]
async fn drain_of_worker_whose_entry_was_away_is_noted(#[values(0, 1)] times: u32) {
    let worker: WorkerId = "w-0".parse().expect("worker id is valid");
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(2)).await;
    for _ in 0..times {
        blink(&fleet).await;
    }
    fleet.drain_worker(&worker);
    sleep(Duration::from_secs(1)).await;
    fleet.store.put("workers/w-1", b"1");
    sleep(Duration::from_secs(1)).await;
    let job = job("a1", 300, vec![step(4)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, Duration::from_secs(5)).await;
}
