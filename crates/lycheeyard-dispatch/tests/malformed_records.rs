//! Records in the store that this system did not write, or wrote in another version.
//!
//! Each test captures its log: a log line that a thread without a subscriber reaches first may stay disabled in all threads.

mod support;

use lycheeyard_jobs::{Job, Step, StepSet, TaskKey};
use lycheeyard_protocol::JobState;
use lycheeyard_standin::CapturedLog;
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
    "worker-speeds",
    "worker-speeds/odd",
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
    let _guard = CapturedLog::default().start();
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

/// The starts of [`held_job`] if it is not interrupted.
const STARTS: usize = 4;

/// A job whose progress record is damaged while it runs.
fn held_job() -> Job {
    let second = Step {
        after: StepSet::new([0]).expect("steps exist"),
        ..step(2)
    };
    job("held", 1000, vec![step(2), second])
}

/// Returns how many runs of a job were started.
fn starts_of(fleet: &Fleet, job: &Job) -> usize {
    let starts = fleet.workers.starts();
    let starts = starts.iter().filter(|(task, ..)| task.step.job == job.id);
    starts.count()
}

/// Replaces the progress record of a job whose first step is done and whose second one runs, and waits until another instance
/// schedules. Returns the record that was replaced.
async fn take_over_with_record(fleet: &Fleet, job: &Job, record: &[u8]) -> Vec<u8> {
    fleet.submit(job).await;
    while starts_of(fleet, job) < STARTS {
        sleep(Duration::from_millis(10)).await;
    }
    fleet.kill(0);
    let key = format!("progress/{}", job.id);
    let replaced = fleet.store.item(&key).expect("job has begun");
    fleet.store.put(&key, record);
    sleep(Duration::from_secs(5)).await;
    assert!(fleet.holder().is_some_and(|holder| holder != 0));
    replaced.value
}

/// Lets the job arrive again as a change of its submission and in a listing of waiting jobs.
async fn name_again(fleet: &Fleet, job: &Job) {
    let submission = serde_json::to_vec(job).expect("job can be encoded");
    let key = format!("requests/jobs/{}", job.id);
    fleet.store.put(&key, &submission);
    sleep(Duration::from_secs(2)).await;
    fleet
        .store
        .put(&format!("waiting/{}/{}", job.queue, job.id), b"");
    fleet.store.compact_history();
    sleep(Duration::from_secs(2)).await;
}

/// Guards against a job that starts afresh because its progress record cannot be read: its done tasks run again, and others run
/// beside its runs, of which the scheduler knows nothing. It may also be named again while the term goes on.
#[rstest]
#[tokio::test(start_paused = true)]
async fn job_whose_progress_cannot_be_read_does_not_start_afresh(
    #[values(
        &b""[..], b"{", b"\xff\xfe", b"null", b"[]", b"{\"state\": 7}", br#"{"state": "running"}"#,
    )]
    record: &[u8],
) {
    let log = CapturedLog::default();
    let _guard = log.start();
    let fleet = Fleet::start(2, 3).await;
    let held = held_job();
    take_over_with_record(&fleet, &held, record).await;
    name_again(&fleet, &held).await;
    let other = job("other", 300, vec![step(4)]);
    fleet.submit(&other).await;
    fleet.await_success(&other.id, Duration::from_secs(5)).await;
    sleep(Duration::from_secs(30)).await;
    assert_eq!(starts_of(&fleet, &held), STARTS);
    let kept = fleet.store.item("progress/held").map(|item| item.value);
    assert_eq!(kept.as_deref(), Some(record));
    let lines = log.lines_of("\"held\"");
    let errors = lines.iter().filter(|line| line["level"] == "ERROR");
    assert_eq!(errors.count(), 1, "{lines:?}");
}

/// Guards against a job with an unreadable record that callers see as unknown or as waiting, though it has begun: a query needs the
/// state only.
#[tokio::test(start_paused = true)]
async fn state_of_job_whose_progress_cannot_be_read_is_the_recorded_one() {
    let _guard = CapturedLog::default().start();
    let fleet = Fleet::start(2, 3).await;
    let held = held_job();
    take_over_with_record(&fleet, &held, br#"{"state": "running"}"#).await;
    assert_eq!(fleet.state(&held.id).await, JobState::Running);
}

/// Guards against a job that stays set aside after its record has been mended and another instance schedules, and against done
/// tasks that run again then.
#[tokio::test(start_paused = true)]
async fn job_goes_on_in_the_next_term_once_its_record_is_mended() {
    let _guard = CapturedLog::default().start();
    let mut fleet = Fleet::start(3, 3).await;
    let held = held_job();
    let replaced = take_over_with_record(&fleet, &held, b"{").await;
    fleet.store.put("progress/held", &replaced);
    let holder = fleet.holder().expect("an instance schedules");
    fleet.stop(holder).await;
    fleet.await_success(&held.id, Duration::from_secs(20)).await;
    let first_step = |task: &TaskKey| task.step.job == held.id && task.step.step == 0;
    let starts = fleet.workers.starts();
    let starts = starts.iter().filter(|(task, ..)| first_step(task));
    assert_eq!(starts.count(), 2);
}

/// Guards against tasks that run again because the ends of their runs were acknowledged while their job was set aside, so that the
/// term that could read its record did not learn of them.
#[tokio::test(start_paused = true)]
async fn ends_of_a_job_set_aside_are_listed_until_its_record_can_be_read() {
    let _guard = CapturedLog::default().start();
    let mut fleet = Fleet::start(3, 3).await;
    let held = held_job();
    let replaced = take_over_with_record(&fleet, &held, b"{").await;
    for number in 0..4 {
        let other = job(&format!("other-{number}"), 300, vec![step(12)]);
        fleet.submit(&other).await;
        fleet.await_success(&other.id, Duration::from_secs(5)).await;
    }
    fleet.store.put("progress/held", &replaced);
    let holder = fleet.holder().expect("an instance schedules");
    fleet.stop(holder).await;
    fleet.await_success(&held.id, Duration::from_secs(20)).await;
    assert_eq!(starts_of(&fleet, &held), STARTS);
}
