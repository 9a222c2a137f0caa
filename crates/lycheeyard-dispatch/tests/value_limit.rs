//! Records and the store's limit on the size of a value. Guards against one job that stops the scheduling of all others.

mod support;

use lycheeyard_jobs::{Job, Schedule};
use lycheeyard_protocol::{JobState, Timestamp};
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, job, step};
use tokio::time::sleep;

/// A job of one short task, of which 36,000 occurrences are due.
fn overdue_job() -> Job {
    Job {
        schedule: Some(Schedule {
            repetitions: 36_000,
            first_at: Timestamp(0),
            interval_ms: 1,
        }),
        ..job("overdue", 1000, vec![step(1)])
    }
}

/// Guards against jobs of all organisations that never start, since the record of one job is larger than the store takes and is written
/// again without end.
#[tokio::test(start_paused = true)]
async fn job_of_many_due_occurrences_stops_no_other_job() {
    let fleet = Fleet::start(1, 3).await;
    fleet.submit(&overdue_job()).await;
    sleep(Duration::from_secs(1)).await;
    let later = job("later", 500, vec![step(1)]);
    fleet.submit(&later).await;
    fleet
        .await_success(&later.id, Duration::from_secs(14))
        .await;
    fleet.await_first_start(&overdue_job().id).await;
}

/// Guards against jobs of all organisations that never start, since the store rejects the record of one, from its first start on or later:
/// that job alone fails, its runs end, and its caller can read that it has failed, also after a takeover.
#[rstest]
#[tokio::test(start_paused = true)]
async fn rejected_record_costs_one_job(#[values(false, true)] has_begun: bool) {
    const MAX_BYTES: usize = 700;
    let fleet = Fleet::start(2, 4).await;
    let neighbour = job("neighbour", 6000, vec![step(1)]);
    let large = job("large", 3000, vec![step(16), step(40)]);
    if !has_begun {
        fleet.store.limit_values(MAX_BYTES);
    }
    fleet.submit(&neighbour).await;
    fleet.submit(&large).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(
        fleet.workers.running().len(),
        if has_begun { 32 } else { 1 }
    );
    fleet.store.limit_values(MAX_BYTES);
    let later = job("later", 500, vec![step(1)]);
    fleet.submit(&later).await;
    fleet
        .await_success(&later.id, Duration::from_secs(14))
        .await;
    fleet
        .await_success(&neighbour.id, Duration::from_secs(14))
        .await;
    assert_eq!(fleet.state(&large.id).await, JobState::Failed);
    assert_eq!(fleet.workers.running(), Vec::new());
    assert!(fleet.store.items("waiting/").is_empty());
    fleet.kill(0);
    let last = job("last", 500, vec![step(1)]);
    fleet.submit(&last).await;
    fleet.await_success(&last.id, Duration::from_secs(30)).await;
    assert_eq!(fleet.state(&large.id).await, JobState::Failed);
    assert_eq!(fleet.workers.running(), Vec::new());
}
