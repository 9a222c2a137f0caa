//! Records and the store's limit on the size of a value. Guards against one job that stops the scheduling of all others.

mod support;

use lycheeyard_jobs::{Job, Schedule};
use lycheeyard_protocol::Timestamp;
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
