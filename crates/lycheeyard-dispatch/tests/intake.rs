//! Submissions, cancellations and queries over a store that fails. Guards against an answer that nothing was stored
//! although a write may still take effect, against duplicate jobs, and against callers that wait needlessly.

mod support;

use lycheeyard_dispatch::{CancelOutcome, IntakeError, JobIntake, StateOutcome, SubmitOutcome};
use lycheeyard_protocol::JobState;
use lycheeyard_standin::CapturedLog;
use rstest::rstest;
use std::time::Duration;
use support::{FakeStore, QUEUE, job, step};
use tokio::time::{Instant, sleep};

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

#[tokio::test(start_paused = true)]
async fn repeated_submission_is_the_same_job() {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let first = intake.submit(&job, deadline()).await;
    assert_eq!(first, Ok(SubmitOutcome::Accepted));
    let again = intake.submit(&job, deadline()).await;
    assert_eq!(again, Ok(SubmitOutcome::AlreadyAccepted));
    let mut other = job.clone();
    other.organisation = "south".parse().expect("organisation id is valid");
    let taken = intake.submit(&other, deadline()).await;
    assert_eq!(taken, Ok(SubmitOutcome::NameTaken));
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_resolved_before_the_caller_is_answered() {
    let store = FakeStore::default();
    store.link.change(|link| link.answers_lost = true);
    let link = store.link.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(500)).await;
        link.clear_faults();
    });
    let intake = JobIntake::new(store.clone());
    let outcome = intake
        .submit(&job("a1", 100, vec![step(1)]), deadline())
        .await;
    assert_eq!(outcome, Ok(SubmitOutcome::AlreadyAccepted));
    assert_eq!(store.items("requests/jobs/").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn refused_submission_is_never_stored() {
    let store = FakeStore::default();
    store.link.change(|link| link.store_refuses = true);
    let intake = JobIntake::new(store.clone());
    let outcome = intake
        .submit(&job("a1", 100, vec![step(1)]), deadline())
        .await;
    assert!(outcome.is_err());
    store.link.clear_faults();
    sleep(Duration::from_secs(20)).await;
    assert!(store.items("requests/").is_empty());
}

#[tokio::test(start_paused = true)]
async fn write_that_may_take_effect_later_is_reported_as_unknown() {
    let store = FakeStore::default();
    let delay = Duration::from_secs(5);
    store.link.change(|link| link.write_delay = Some(delay));
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let outcome = intake.submit(&job, deadline()).await;
    assert_eq!(outcome, Ok(SubmitOutcome::Unknown));
    sleep(Duration::from_secs(8)).await;
    // Several attempts were sent, but only one job is stored.
    assert_eq!(store.items("requests/jobs/").len(), 1);
    store.link.clear_faults();
    let again = intake.submit(&job, deadline()).await;
    assert_eq!(again, Ok(SubmitOutcome::AlreadyAccepted));
}

/// Guards against a caller that is told that there is no such job while the store has one, and against a job that is lost or stored
/// twice after such an answer: an unanswered submission may be stored after a query.
#[tokio::test(start_paused = true)]
async fn no_job_is_shown_only_while_an_unanswered_submission_is_not_stored() {
    let store = FakeStore::default();
    let delay = Duration::from_secs(5);
    store.link.change(|link| link.write_delay = Some(delay));
    let sender = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let submitted = sender.submit(&job, deadline()).await;
    assert_eq!(submitted, Ok(SubmitOutcome::Unknown));
    let intake = JobIntake::new(store.connect());
    let mut answers = Vec::new();
    for _ in 0..800 {
        let was_stored = store.item("requests/jobs/a1").is_some();
        let state = intake.state(&job.queue, &job.id, deadline()).await;
        let state = state.expect("store answers");
        if was_stored {
            assert_eq!(state, StateOutcome::Known(JobState::Queued));
        }
        answers.push(state);
        sleep(Duration::from_millis(1)).await;
    }
    assert!(answers.contains(&StateOutcome::NoSuchJob));
    assert!(answers.contains(&StateOutcome::Known(JobState::Queued)));
    let again = intake.submit(&job, deadline()).await;
    assert_eq!(again, Ok(SubmitOutcome::AlreadyAccepted));
}

#[tokio::test(start_paused = true)]
async fn answers_at_once_when_store_refuses() {
    let store = FakeStore::default();
    store.link.change(|link| link.store_refuses = true);
    let intake = JobIntake::new(store);
    let started = Instant::now();
    let outcome = intake
        .submit(&job("a1", 100, vec![step(1)]), deadline())
        .await;
    assert!(outcome.is_err());
    assert!(started.elapsed() < Duration::from_millis(250));
}

#[tokio::test(start_paused = true)]
async fn answers_before_the_deadline_when_store_is_unresponsive() {
    let store = FakeStore::default();
    store.link.change(|link| link.store_silent = true);
    let intake = JobIntake::new(store);
    let started = Instant::now();
    let limit = started + Duration::from_secs(10);
    let outcome = intake.submit(&job("a1", 100, vec![step(1)]), limit).await;
    assert_eq!(outcome, Ok(SubmitOutcome::Unknown));
    let queue = QUEUE.parse().expect("queue id is valid");
    let id = "a1".parse().expect("job id is valid");
    assert!(intake.state(&queue, &id, limit).await.is_err());
    assert!(started.elapsed() < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn refusal_after_an_unanswered_attempt_is_reported_as_unknown() {
    let store = FakeStore::default();
    store.link.change(|link| link.store_silent = true);
    let link = store.link.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(900)).await;
        link.change(|link| {
            link.store_silent = false;
            link.store_refuses = true;
        });
    });
    let intake = JobIntake::new(store);
    let outcome = intake
        .submit(&job("a1", 100, vec![step(1)]), deadline())
        .await;
    assert_eq!(outcome, Ok(SubmitOutcome::Unknown));
}

#[tokio::test(start_paused = true)]
async fn cancellation_distinguishes_unknown_and_ended_jobs() {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let queue = QUEUE.parse().expect("queue id is valid");
    let north = "north".parse().expect("organisation id is valid");
    let south = "south".parse().expect("organisation id is valid");
    let id = "a1".parse().expect("job id is valid");
    let unknown_id = "a2".parse().expect("job id is valid");
    let unknown = intake.cancel(&queue, &north, &unknown_id, deadline()).await;
    assert_eq!(unknown, Ok(CancelOutcome::NoSuchJob));
    let accepted = intake
        .submit(&job("a1", 100, vec![step(1)]), deadline())
        .await;
    assert_eq!(accepted, Ok(SubmitOutcome::Accepted));
    let other_organisation = intake.cancel(&queue, &south, &id, deadline()).await;
    assert_eq!(other_organisation, Ok(CancelOutcome::NoSuchJob));
    for _ in 0..2 {
        let cancelled = intake.cancel(&queue, &north, &id, deadline()).await;
        assert_eq!(cancelled, Ok(CancelOutcome::Cancelled));
    }
    store.put("progress/a1", br#"{"state":"succeeded","opened":1}"#);
    let ended = intake.cancel(&queue, &north, &id, deadline()).await;
    assert_eq!(ended, Ok(CancelOutcome::AlreadyEnded));
}

#[tokio::test(start_paused = true)]
async fn counts_waiting_jobs_over_all_pages() {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let queue = QUEUE.parse().expect("queue id is valid");
    for number in 0..120 {
        let job = job(&format!("job-{number}"), 100, vec![step(1)]);
        let accepted = intake.submit(&job, deadline()).await;
        assert_eq!(accepted, Ok(SubmitOutcome::Accepted));
    }
    assert_eq!(intake.count_waiting(&queue, deadline()).await, Ok(120));
    let id = "job-7".parse().expect("job id is valid");
    let state = intake.state(&queue, &id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::Known(JobState::Queued)));
    let other_queue = "other".parse().expect("queue id is valid");
    let state = intake.state(&other_queue, &id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::NoSuchJob));
}

/// Guards against callers that get no answer while the answers of the store keep arriving: they may take longer than the calls to
/// the store wait for their beginning, and a query needs up to three.
#[tokio::test(start_paused = true)]
async fn calls_are_answered_by_their_deadline_while_values_arrive_slowly() {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let submitted = intake.submit(&job, deadline()).await;
    assert_eq!(submitted, Ok(SubmitOutcome::Accepted));
    let slow = Duration::from_millis(900);
    store.link.change(|link| {
        link.value_time = slow;
        link.page_time = slow * 3;
    });
    let state = intake.state(&job.queue, &job.id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::Known(JobState::Queued)));
    let short = Duration::from_millis(800);
    let limit = Instant::now() + short;
    let state = intake.state(&job.queue, &job.id, limit).await;
    assert!(state.is_err(), "{state:?}");
    assert!(Instant::now() <= limit, "query");
    let limit = Instant::now() + short;
    let count = intake.count_waiting(&job.queue, limit).await;
    assert!(count.is_err(), "{count:?}");
    assert!(Instant::now() <= limit, "count");
    let limit = Instant::now() + short;
    let cancelled = intake.cancel(&job.queue, &job.organisation, &job.id, limit);
    let cancelled = cancelled.await;
    assert!(cancelled.is_err(), "{cancelled:?}");
    assert!(Instant::now() <= limit, "cancel");
    assert!(store.item("requests/cancels/a1").is_none());
}

/// The record of an archived job.
const ENDED: &str =
    r#"{"job":"a1","queue":"grids","organisation":"north","state":"succeeded","ended_at":1000}"#;

/// Guards against queries of ended jobs that together need more exact reads than the store allows.
#[tokio::test(start_paused = true)]
async fn state_of_an_archived_job_needs_no_exact_read() {
    let store = FakeStore::default();
    store.put("ended/a1", ENDED.as_bytes());
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let state = intake.state(&job.queue, &job.id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::Known(JobState::Succeeded)));
    assert_eq!(store.gets(), 0);
}

/// Guards against callers that are shown an outdated state, or that there is no such job, because a read was some seconds old.
#[tokio::test(start_paused = true)]
async fn state_of_a_job_is_exact_while_cheaper_reads_are_old() {
    let store = FakeStore::default();
    store.hold_stale_reads();
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let submitted = intake.submit(&job, deadline()).await;
    assert_eq!(submitted, Ok(SubmitOutcome::Accepted));
    let state = || intake.state(&job.queue, &job.id, deadline());
    assert_eq!(state().await, Ok(StateOutcome::Known(JobState::Queued)));
    store.put("progress/a1", br#"{"state":"running"}"#);
    store.hold_stale_reads();
    store.put("progress/a1", br#"{"state":"succeeded"}"#);
    assert_eq!(state().await, Ok(StateOutcome::Known(JobState::Succeeded)));
    let archive = FakeStore::default();
    archive.hold_stale_reads();
    archive.put("ended/a1", ENDED.as_bytes());
    let archived = JobIntake::new(archive);
    let state = archived.state(&job.queue, &job.id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::Known(JobState::Succeeded)));
}

/// Guards against a job about which all repeats of a query fail, because one of its records cannot be decoded although another one
/// tells its state.
#[rstest]
#[case(&[("progress/a1", "{"), ("ended/a1", ENDED)], JobState::Succeeded)]
#[case(&[("requests/jobs/a1", "{"), ("ended/a1", ENDED)], JobState::Succeeded)]
#[case(&[("requests/jobs/a1", "{"), ("waiting/grids/a1", "")], JobState::Queued)]
#[case(&[("requests/jobs/a1", r#"{"queue":"grids"}"#)], JobState::Queued)]
#[case(&[("ended/a1", r#"{"state":"failed"}"#)], JobState::Failed)]
#[tokio::test(start_paused = true)]
async fn state_is_known_if_any_record_tells_it(
    #[case] records: &[(&str, &str)],
    #[case] expected: JobState,
) {
    let store = FakeStore::default();
    store.hold_stale_reads();
    for (key, value) in records {
        store.put(key, value.as_bytes());
    }
    let intake = JobIntake::new(store);
    let job = job("a1", 100, vec![step(1)]);
    let state = intake.state(&job.queue, &job.id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::Known(expected)));
}

/// Guards against an untrue answer about a job of which no record tells the state, and against a log that has a line for each query.
#[rstest]
#[case("progress/a1")]
#[case("requests/jobs/a1")]
#[case("ended/a1")]
#[tokio::test(start_paused = true)]
async fn unreadable_record_is_logged_once_and_never_shown_as_absent(#[case] key: &str) {
    let log = CapturedLog::default();
    let _guard = log.start();
    let store = FakeStore::default();
    store.put(key, b"{");
    let intake = JobIntake::new(store);
    let job = job("a1", 100, vec![step(1)]);
    for _ in 0..5 {
        let state = intake.state(&job.queue, &job.id, deadline()).await;
        assert!(matches!(state, Err(IntakeError::Codec { .. })), "{state:?}");
    }
    assert_eq!(log.lines_of(key).len(), 1);
}

/// Guards against a job that cannot be cancelled because a part of its records cannot be decoded that a cancellation does not need.
#[tokio::test(start_paused = true)]
async fn job_with_incomplete_records_can_be_cancelled() {
    let store = FakeStore::default();
    store.put(
        "requests/jobs/a1",
        br#"{"queue":"grids","organisation":"north"}"#,
    );
    store.put("progress/a1", br#"{"state":"running"}"#);
    let intake = JobIntake::new(store);
    let job = job("a1", 100, vec![step(1)]);
    let cancelled = intake.cancel(&job.queue, &job.organisation, &job.id, deadline());
    assert_eq!(cancelled.await, Ok(CancelOutcome::Cancelled));
}

/// Guards against a caller that is told that its job was not accepted and never runs, although a job of that name is stored: whether
/// it is the same cannot be told.
#[tokio::test(start_paused = true)]
async fn submission_of_a_job_whose_record_cannot_be_decoded_is_unknown() {
    let _guard = CapturedLog::default().start();
    for key in ["requests/jobs/a1", "ended/a1"] {
        let store = FakeStore::default();
        store.put(key, b"{");
        let intake = JobIntake::new(store);
        let job = job("a1", 100, vec![step(1)]);
        let outcome = intake.submit(&job, deadline());
        assert_eq!(outcome.await, Ok(SubmitOutcome::Unknown), "{key}");
    }
}

/// Guards against a caller that is told that a cancellation is not stored although an earlier attempt may still store it.
#[tokio::test(start_paused = true)]
async fn cancellation_that_may_be_stored_is_unknown_whatever_fails_after_it() {
    let _guard = CapturedLog::default().start();
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let submitted = intake.submit(&job, deadline()).await;
    assert_eq!(submitted, Ok(SubmitOutcome::Accepted));
    store.link.change(|link| link.answers_lost = true);
    let damaged = store.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(500)).await;
        damaged.put("progress/a1", b"{");
    });
    let outcome = intake.cancel(&job.queue, &job.organisation, &job.id, deadline());
    assert_eq!(outcome.await, Ok(CancelOutcome::Unknown));
    assert!(store.item("requests/cancels/a1").is_some());
}
