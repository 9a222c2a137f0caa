//! Cancellations of jobs that are not stored yet. Guards against a job that runs although its cancellation was answered, and against
//! callers that keep others from submitting jobs.

mod support;

use lycheeyard_dispatch::{CancelOutcome, IntakeError, JobIntake, StateOutcome, SubmitOutcome};
use lycheeyard_jobs::Job;
use lycheeyard_protocol::JobState;
use rstest::rstest;
use std::time::Duration;
use support::{FakeStore, Fleet, job, step};
use tokio::time::{Instant, sleep};

/// How long a withdrawal is stored at most.
const LONGEST_RETENTION: Duration = Duration::from_secs(120);

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

async fn submit(store: &FakeStore, job: &Job) -> Result<SubmitOutcome, IntakeError> {
    let intake = JobIntake::new(store.connect());
    intake.submit(job, deadline()).await
}

async fn cancel(store: &FakeStore, job: &Job) -> Result<CancelOutcome, IntakeError> {
    let intake = JobIntake::new(store.connect());
    intake
        .cancel(&job.queue, &job.organisation, &job.id, deadline())
        .await
}

/// Guards against a job that runs for good though its caller was told that there is no such job: the store carries out the write of an
/// unanswered submission after the cancellation.
#[rstest]
#[tokio::test(start_paused = true)]
async fn late_submission_does_not_take_effect_after_its_cancellation(
    #[values(1, 2, 6)] delay_s: u64,
) {
    let fleet = Fleet::start(2, 2).await;
    let link = &fleet.instances[1].store.link;
    let delay = Duration::from_secs(delay_s);
    link.change(|link| link.write_delay = Some(delay));
    let job = job("a1", 60_000, vec![step(1)]);
    let submitter = JobIntake::new(fleet.instances[1].store.clone());
    let short = Instant::now() + Duration::from_millis(500);
    let submitted = submitter.submit(&job, short).await;
    assert_eq!(submitted, Ok(SubmitOutcome::Unknown));
    assert_eq!(
        cancel(&fleet.store, &job).await,
        Ok(CancelOutcome::NoSuchJob)
    );
    sleep(Duration::from_secs(10)).await;
    assert!(fleet.store.items("requests/").is_empty());
    assert!(fleet.store.items("waiting/").is_empty());
    assert_eq!(fleet.workers.starts(), Vec::new());
}

/// Guards against a job that runs though its cancellation was answered: its caller, or the network, sends the submission once more, to
/// any instance.
#[tokio::test(start_paused = true)]
async fn repeated_submission_does_not_take_effect_after_a_cancellation() {
    let store = FakeStore::default();
    let job = job("a1", 100, vec![step(1)]);
    assert_eq!(cancel(&store, &job).await, Ok(CancelOutcome::NoSuchJob));
    for _ in 0..2 {
        assert_eq!(submit(&store, &job).await, Ok(SubmitOutcome::Withdrawn));
    }
    assert_eq!(cancel(&store, &job).await, Ok(CancelOutcome::NoSuchJob));
    let intake = JobIntake::new(store.clone());
    let state = intake.state(&job.queue, &job.id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::NoSuchJob));
}

/// Guards against a caller that is told that its submission was withdrawn though the job is stored: the write came before the
/// cancellation, which then has to cancel the job.
#[tokio::test(start_paused = true)]
async fn job_that_is_stored_before_its_cancellation_is_cancelled() {
    let store = FakeStore::default();
    let job = job("a1", 100, vec![step(1)]);
    assert_eq!(submit(&store, &job).await, Ok(SubmitOutcome::Accepted));
    assert_eq!(cancel(&store, &job).await, Ok(CancelOutcome::Cancelled));
    assert_eq!(
        submit(&store, &job).await,
        Ok(SubmitOutcome::AlreadyAccepted)
    );
    assert!(store.item("requests/cancels/a1").is_some());
    assert!(store.items("withdrawn/").is_empty());
}

/// Guards against a caller that makes the jobs of another organisation, or of another queue, unacceptable by naming their ids first.
#[tokio::test(start_paused = true)]
async fn cancellation_keeps_no_other_organisation_or_queue_from_submitting() {
    let store = FakeStore::default();
    let job = job("a1", 100, vec![step(1)]);
    let of_south = Job {
        organisation: "south".parse().expect("organisation id is valid"),
        ..job.clone()
    };
    let in_other_queue = Job {
        queue: "other".parse().expect("queue id is valid"),
        ..job.clone()
    };
    assert_eq!(
        cancel(&store, &of_south).await,
        Ok(CancelOutcome::NoSuchJob)
    );
    assert_eq!(
        cancel(&store, &in_other_queue).await,
        Ok(CancelOutcome::NoSuchJob)
    );
    assert_eq!(submit(&store, &job).await, Ok(SubmitOutcome::Accepted));
    assert_eq!(
        cancel(&store, &of_south).await,
        Ok(CancelOutcome::NoSuchJob)
    );
    assert!(store.items("requests/cancels/").is_empty());
}

/// Guards against an answer that there is no such job, though it is not known whether the withdrawal is stored, or it certainly is not.
#[tokio::test(start_paused = true)]
async fn cancellation_that_is_not_stored_is_not_answered_as_done() {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let other = "a0".parse().expect("job id is valid");
    let cancelled = intake.cancel(&job.queue, &job.organisation, &other, deadline());
    assert_eq!(cancelled.await, Ok(CancelOutcome::NoSuchJob));
    store.link.change(|link| link.answers_lost = true);
    let cancelled = intake.cancel(&job.queue, &job.organisation, &job.id, deadline());
    assert_eq!(cancelled.await, Ok(CancelOutcome::Unknown));
    store.link.clear_faults();
    store.link.change(|link| link.store_refuses = true);
    let cancelled = intake.cancel(&job.queue, &job.organisation, &job.id, deadline());
    assert!(cancelled.await.is_err());
}

/// Guards against a late copy of an unanswered cancellation that cancels a job which was accepted after it.
#[tokio::test(start_paused = true)]
async fn late_withdrawal_does_not_take_effect_on_an_accepted_job() {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.connect());
    let job = job("a1", 100, vec![step(1)]);
    let slow = JobIntake::new(store.clone());
    store
        .link
        .change(|link| link.write_delay = Some(Duration::from_secs(5)));
    let cancelled = slow.cancel(&job.queue, &job.organisation, &job.id, deadline());
    assert_eq!(cancelled.await, Ok(CancelOutcome::Unknown));
    assert_eq!(submit(&store, &job).await, Ok(SubmitOutcome::Accepted));
    sleep(Duration::from_secs(10)).await;
    let state = intake.state(&job.queue, &job.id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::Known(JobState::Queued)));
    assert!(store.items("withdrawn/").is_empty());
}

/// Guards against a store that is filled by cancellations of jobs that do not exist, and against ids that stay unusable.
#[tokio::test(start_paused = true)]
async fn withdrawals_are_limited_and_end() {
    const MAX_PER_ORGANISATION: usize = 2000;
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let job = job("j0", 100, vec![step(1)]);
    for number in 0..MAX_PER_ORGANISATION {
        let id = format!("j{number}").parse().expect("job id is valid");
        let cancelled = intake.cancel(&job.queue, &job.organisation, &id, deadline());
        assert_eq!(cancelled.await, Ok(CancelOutcome::NoSuchJob));
    }
    let one_more = "more".parse().expect("job id is valid");
    let cancelled = intake.cancel(&job.queue, &job.organisation, &one_more, deadline());
    assert_eq!(cancelled.await, Err(IntakeError::TooManyWithdrawals));
    let south = "south".parse().expect("organisation id is valid");
    let cancelled = intake.cancel(&job.queue, &south, &one_more, deadline());
    assert_eq!(cancelled.await, Ok(CancelOutcome::NoSuchJob));
    sleep(LONGEST_RETENTION).await;
    assert!(store.items("withdrawn/").is_empty());
    assert_eq!(submit(&store, &job).await, Ok(SubmitOutcome::Accepted));
    let cancelled = intake.cancel(&job.queue, &job.organisation, &one_more, deadline());
    assert_eq!(cancelled.await, Ok(CancelOutcome::NoSuchJob));
}

/// Guards against withdrawals that end too early: a copy of a submission may be carried out some seconds late, also of one whose job was
/// cancelled when the lease of the withdrawals had been in use for long.
#[rstest]
#[tokio::test(start_paused = true)]
async fn withdrawal_is_stored_for_a_minute_at_least(#[values(0, 30, 59, 61)] after_s: u64) {
    let store = FakeStore::default();
    let intake = JobIntake::new(store.clone());
    let job = job("a1", 100, vec![step(1)]);
    let first = "a0".parse().expect("job id is valid");
    let cancelled = intake.cancel(&job.queue, &job.organisation, &first, deadline());
    assert_eq!(cancelled.await, Ok(CancelOutcome::NoSuchJob));
    sleep(Duration::from_secs(after_s)).await;
    let cancelled = intake.cancel(&job.queue, &job.organisation, &job.id, deadline());
    assert_eq!(cancelled.await, Ok(CancelOutcome::NoSuchJob));
    sleep(Duration::from_secs(59)).await;
    assert_eq!(submit(&store, &job).await, Ok(SubmitOutcome::Withdrawn));
}
