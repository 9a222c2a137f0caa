//! Many queries at once at a store that answers a limited number of exact reads a second. Guards against callers that get no answer in
//! time, and against retries that add to the load.

mod support;

use lycheeyard_dispatch::{IntakeError, JobIntake, StateOutcome};
use lycheeyard_protocol::{JobId, JobState, QueueId};
use rstest::rstest;
use std::time::Duration;
use support::{FakeStore, QUEUE};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const READS_PER_S: usize = 400;

type Answer = (usize, Result<StateOutcome, IntakeError>, Instant);

fn job_id(number: usize) -> JobId {
    format!("job-{number}").parse().expect("job id is valid")
}

/// Jobs that run, but for each job whose number is a multiple of `archived_each`.
fn put_jobs(store: &FakeStore, jobs: usize, archived_each: usize) {
    for number in 0..jobs {
        let id = job_id(number);
        if number % archived_each == 0 {
            let record = format!(
                r#"{{"job":"{id}","queue":"{QUEUE}","organisation":"north","state":"succeeded","ended_at":1}}"#
            );
            store.put(&format!("ended/{id}"), record.as_bytes());
        } else {
            store.put(&format!("progress/{id}"), br#"{"state":"running"}"#);
        }
    }
}

/// Asks for all jobs at the same time, each at one of the instances.
async fn ask_for_all(
    store: &FakeStore,
    instances: usize,
    jobs: usize,
    deadline: Instant,
) -> Vec<Answer> {
    let queue: QueueId = QUEUE.parse().expect("queue id is valid");
    let intakes: Vec<_> = (0..instances)
        .map(|_| JobIntake::new(store.connect()))
        .collect();
    let mut queries = JoinSet::new();
    for number in 0..jobs {
        let intake = intakes[number % instances].clone();
        let queue = queue.clone();
        queries.spawn(async move {
            let state = intake.state(&queue, &job_id(number), deadline).await;
            (number, state, Instant::now())
        });
    }
    queries.join_all().await
}

/// Guards against queries that are given up after a tenth of a second because the store refuses reads beyond its rate, although
/// there is time to wait for them.
#[rstest]
#[tokio::test(start_paused = true)]
async fn all_queries_are_answered_that_the_store_has_time_for(#[values(4, 38)] instances: usize) {
    let store = FakeStore::default();
    store.limit_gets(READS_PER_S);
    put_jobs(&store, 3000, 2);
    let deadline = Instant::now() + Duration::from_secs(6);
    for (number, state, answered_at) in ask_for_all(&store, instances, 3000, deadline).await {
        let expected = if number % 2 == 0 {
            JobState::Succeeded
        } else {
            JobState::Running
        };
        assert_eq!(state, Ok(StateOutcome::Known(expected)), "{number}");
        assert!(answered_at <= deadline);
    }
}

/// Guards against callers that are left without an answer, and against retries that multiply the calls, while callers ask for more than
/// the store can answer in time; and against an instance that serves less than it could meanwhile or afterwards.
#[rstest]
#[tokio::test(start_paused = true)]
async fn queries_beyond_the_rate_are_given_up_in_time(#[values(4, 38)] instances: usize) {
    let store = FakeStore::default();
    store.limit_gets(READS_PER_S);
    put_jobs(&store, 4000, usize::MAX);
    let deadline = Instant::now() + Duration::from_secs(3);
    let answers = ask_for_all(&store, instances, 4000, deadline).await;
    assert!(
        answers
            .iter()
            .all(|(_, _, answered_at)| *answered_at <= deadline)
    );
    let served = answers.iter().filter(|(_, state, _)| state.is_ok()).count();
    assert!(served > 3 * READS_PER_S * 2 / 3, "{served} served");
    assert!(store.gets() < 2 * 4000, "{} reads", store.gets());
    sleep(Duration::from_secs(1)).await;
    let deadline = Instant::now() + Duration::from_secs(1);
    let answers = ask_for_all(&store, instances, READS_PER_S / 2, deadline).await;
    assert!(answers.iter().all(|(_, state, _)| state.is_ok()));
}

/// Guards against a query that is given up while half of its time is left, because the pause between retries is longer than that.
#[tokio::test(start_paused = true)]
async fn queries_are_answered_that_the_store_refused_for_half_of_their_time() {
    const JOBS: usize = 152;
    let store = FakeStore::default();
    store.limit_gets(0);
    put_jobs(&store, JOBS, usize::MAX);
    let recovered = store.connect();
    tokio::spawn(async move {
        sleep(Duration::from_millis(600)).await;
        recovered.limit_gets(20_000);
    });
    let deadline = Instant::now() + Duration::from_secs(1);
    let answers = ask_for_all(&store, 38, JOBS, deadline).await;
    let lost = answers.iter().filter(|(_, state, _)| state.is_err());
    assert_eq!(lost.count(), 0);
    assert!(store.gets() < 10 * JOBS, "{} reads", store.gets());
}
