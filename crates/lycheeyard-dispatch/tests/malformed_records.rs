//! Records in the store that this system did not write, or wrote in another version.

mod support;

use lycheeyard_jobs::Job;
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, job, step, urgent_job};
use tokio::time::sleep;

/// Every key that the scheduling instance reads, with a value of the wrong form.
const KEYS: &[&str] = &[
    "requests/jobs/odd",
    "requests/jobs/",
    "requests/jobs/a b",
    "requests/cancels/odd",
    "requests/other",
    "waiting/grids/odd",
    "waiting/odd",
    "progress/odd",
    "progress/",
    "ended/odd",
    "ended/",
    "maintenance/7",
    "maintenance/odd",
    "workers/w-odd",
    "successor",
    "successor/odd",
];

/// A record of a job that has other steps and tasks than the job.
const ODD_PROGRESS: &str = r#"{"state": "running", "opened": 7, "open": {
    "0": [{"tasks": [{"r": 1, "w": ["w-0", 1]}, {"r": 2, "w": ["w-9", 4]}, {"d": true}]}, {"tasks": [{"r": 9}]}],
    "5": []}}"#;

fn odd_job() -> Job {
    job("odd-progress", 300, vec![step(2)])
}

fn put_malformed_records(fleet: &Fleet, value: &[u8]) {
    for key in KEYS {
        fleet.store.put(key, value);
    }
    let odd = serde_json::to_vec(&odd_job()).expect("job can be encoded");
    fleet.store.put("requests/jobs/odd-progress", &odd);
    let progress = ODD_PROGRESS.as_bytes();
    fleet.store.put("progress/odd-progress", progress);
}

/// Guards against a malformed record that ends the scheduler of the instance that reads it, and then of each of its
/// successors: while it is read at the start of a term, and while it arrives in a watch.
#[rstest]
#[tokio::test(start_paused = true)]
async fn malformed_records_do_not_stop_the_scheduler(
    #[values(&b""[..], b"{", b"\xff\xfe", b"null", b"[]", b"{\"state\": 7}", b"1/2/3")]
    value: &[u8],
) {
    let fleet = Fleet::start(2, 3).await;
    put_malformed_records(&fleet, value);
    let before = urgent_job("before", 300, vec![step(4)]);
    fleet.submit(&before).await;
    let limit = Duration::from_secs(3);
    fleet
        .await_success_in(&before.queue, &before.id, limit)
        .await;
    fleet.kill(0);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(fleet.holder(), Some(1));
    let after = urgent_job("after", 300, vec![step(4)]);
    fleet.submit(&after).await;
    fleet.await_success_in(&after.queue, &after.id, limit).await;
    sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.holder(), Some(1));
    fleet
        .await_success_in(&before.queue, &before.id, limit)
        .await;
}
