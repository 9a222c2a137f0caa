//! A store that answers slowly: how soon jobs start, and that no two writes of one record are under way at a time.

mod support;

use lycheeyard_jobs::Job;
use lycheeyard_standin::CapturedLog;
use std::time::Duration;
use support::{Fleet, job, step, urgent_job};
use tokio::time::{Instant, sleep};

const WORKERS: usize = 40;
/// How long the store takes to answer the holder.
const ANSWER_TIME: Duration = Duration::from_millis(300);
const JOBS: usize = 90;
/// The jobs are to start at 60 a second at least.
const START_LIMIT: Duration = Duration::from_millis(1500);

async fn start_fleet(workers: usize) -> Fleet {
    let fleet = Fleet::start(1, workers).await;
    sleep(Duration::from_secs(1)).await;
    let link = &fleet.instances[0].store.link;
    link.change(|link| link.answer_time = ANSWER_TIME);
    fleet
}

/// Guards against a holder that waits for the answer to each write before it sends the next one: in a slow store it records
/// few jobs a second, and their starts wait for that.
#[tokio::test(start_paused = true)]
async fn many_jobs_start_although_store_is_slow() {
    let fleet = start_fleet(WORKERS).await;
    let jobs: Vec<Job> = (0..JOBS)
        .map(|number| job(&format!("job-{number}"), 5000, vec![step(1)]))
        .collect();
    for job in &jobs {
        fleet.submit(job).await;
    }
    let submitted = Instant::now();
    for job in &jobs {
        fleet.await_first_start(&job.id).await;
    }
    let took = submitted.elapsed();
    assert!(took < START_LIMIT, "{took:?}");
}

/// Guards against two writes of one record that are under way at a time: the later one would fail or be lost.
#[tokio::test(start_paused = true)]
async fn writes_of_one_record_follow_each_other() {
    let log = CapturedLog::default();
    let _guard = log.start();
    // Too few workers for all tasks, so that those of one job end at different times.
    let fleet = start_fleet(3).await;
    let jobs: Vec<Job> = (0..8)
        .map(|number| urgent_job(&format!("job-{number}"), 150 + 70 * number, vec![step(15)]))
        .collect();
    for job in &jobs {
        fleet.submit(job).await;
    }
    for job in &jobs {
        fleet
            .await_success_in(&job.queue, &job.id, Duration::from_secs(30))
            .await;
    }
    assert_eq!(fleet.workers.starts().len(), 120);
    assert!(fleet.workers.violations().is_empty());
    assert!(log.lines_of("another revision than expected").is_empty());
}
