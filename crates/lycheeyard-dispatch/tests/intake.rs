//! Submissions, cancellations and questions over a store that fails.

mod support;

use lycheeyard_dispatch::{CancelOutcome, JobIntake, StateOutcome, SubmitOutcome};
use lycheeyard_protocol::JobState;
use std::time::Duration;
use support::{FakeStore, QUEUE, job, step};
use tokio::time::{Instant, sleep};

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

#[tokio::test(start_paused = true)]
async fn the_same_submission_again_is_the_same_job() {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let first = intake.submit(&job, deadline()).await;
    assert_eq!(first, Ok(SubmitOutcome::Accepted));
    let again = intake.submit(&job, deadline()).await;
    assert_eq!(again, Ok(SubmitOutcome::AlreadyAccepted));
    let mut other = job.clone();
    other.organisation = "south".parse().expect("an organisation");
    let taken = intake.submit(&other, deadline()).await;
    assert_eq!(taken, Ok(SubmitOutcome::NameTaken));
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_cleared_up_before_anything_is_said() {
    let store = FakeStore::default();
    store.link.change(|link| link.answers_lost = true);
    let link = store.link.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(500)).await;
        link.heal();
    });
    let intake = JobIntake::new(store.clone());
    let outcome = intake
        .submit(&job("a1", 100, vec![step(1)]), deadline())
        .await;
    assert_eq!(outcome, Ok(SubmitOutcome::AlreadyAccepted));
    assert_eq!(store.items("requests/jobs/").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_means_that_nothing_is_stored_ever() {
    let store = FakeStore::default();
    store.link.change(|link| link.store_refuses = true);
    let intake = JobIntake::new(store.clone());
    let outcome = intake
        .submit(&job("a1", 100, vec![step(1)]), deadline())
        .await;
    assert!(outcome.is_err());
    store.link.heal();
    sleep(Duration::from_secs(20)).await;
    assert!(store.items("requests/").is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_write_that_may_still_take_effect_is_not_called_refused() {
    let store = FakeStore::default();
    let delay = Duration::from_secs(5);
    store.link.change(|link| link.writes_late = Some(delay));
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let outcome = intake.submit(&job, deadline()).await;
    assert_eq!(outcome, Ok(SubmitOutcome::Unknown));
    sleep(Duration::from_secs(8)).await;
    // Several copies were sent, and one job came of them.
    assert_eq!(store.items("requests/jobs/").len(), 1);
    store.link.heal();
    let again = intake.submit(&job, deadline()).await;
    assert_eq!(again, Ok(SubmitOutcome::AlreadyAccepted));
}

#[tokio::test(start_paused = true)]
async fn a_caller_of_a_store_that_refuses_is_told_at_once() {
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
async fn a_caller_of_a_silent_store_is_not_held_to_the_deadline() {
    let store = FakeStore::default();
    store.link.change(|link| link.store_silent = true);
    let intake = JobIntake::new(store);
    let started = Instant::now();
    let limit = started + Duration::from_secs(10);
    let outcome = intake.submit(&job("a1", 100, vec![step(1)]), limit).await;
    assert_eq!(outcome, Ok(SubmitOutcome::Unknown));
    let queue = QUEUE.parse().expect("a queue");
    let id = "a1".parse().expect("a job");
    assert!(intake.state(&queue, &id, limit).await.is_err());
    assert!(started.elapsed() < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn a_refusal_after_an_unclear_try_stays_unclear() {
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
async fn cancellations_tell_unknown_and_ended_jobs_apart() {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let queue = QUEUE.parse().expect("a queue");
    let north = "north".parse().expect("an organisation");
    let south = "south".parse().expect("an organisation");
    let id = "a1".parse().expect("a job");
    let unknown = intake.cancel(&queue, &north, &id, deadline()).await;
    assert_eq!(unknown, Ok(CancelOutcome::NoSuchJob));
    let accepted = intake
        .submit(&job("a1", 100, vec![step(1)]), deadline())
        .await;
    assert_eq!(accepted, Ok(SubmitOutcome::Accepted));
    let foreign = intake.cancel(&queue, &south, &id, deadline()).await;
    assert_eq!(foreign, Ok(CancelOutcome::NoSuchJob));
    for _ in 0..2 {
        let cancelled = intake.cancel(&queue, &north, &id, deadline()).await;
        assert_eq!(cancelled, Ok(CancelOutcome::Cancelled));
    }
    store.put("progress/a1", br#"{"state":"succeeded","opened":1}"#);
    let ended = intake.cancel(&queue, &north, &id, deadline()).await;
    assert_eq!(ended, Ok(CancelOutcome::AlreadyEnded));
}

#[tokio::test(start_paused = true)]
async fn waiting_jobs_are_counted_over_all_pages() {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let queue = QUEUE.parse().expect("a queue");
    for number in 0..120 {
        let job = job(&format!("job-{number}"), 100, vec![step(1)]);
        let accepted = intake.submit(&job, deadline()).await;
        assert_eq!(accepted, Ok(SubmitOutcome::Accepted));
    }
    assert_eq!(intake.count_waiting(&queue, deadline()).await, Ok(120));
    let id = "job-7".parse().expect("a job");
    let state = intake.state(&queue, &id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::Known(JobState::Queued)));
    let elsewhere = "other".parse().expect("a queue");
    let state = intake.state(&elsewhere, &id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::NoSuchJob));
}
