//! The archive of ended jobs: what callers see of them, and that a new holder does not read their records.

mod support;

use lycheeyard_dispatch::{CancelOutcome, JobIntake, StateOutcome, SubmitOutcome};
use lycheeyard_jobs::Job;
use lycheeyard_protocol::{JobId, JobState};
use rstest::rstest;
use std::time::Duration;
use support::{FakeStore, Fleet, QUEUE, URGENT_QUEUE, job, step, urgent_job};
use tokio::time::{Instant, sleep};

/// The duration of the scheduling lease.
const LEASE: Duration = Duration::from_secs(2);
/// How much longer than the lease it may take until the next holder starts work.
const TAKEOVER: Duration = Duration::from_millis(500);
/// How long callers must find the state of a job after its end.
const STATUS_TIME: Duration = Duration::from_secs(120);
/// How long a page of keys takes to reach a small instance.
const PAGE_TIME: Duration = Duration::from_millis(50);

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

/// Runs short jobs and waits until they are archived.
async fn archive_jobs(fleet: &Fleet, count: usize) -> Vec<Job> {
    let jobs: Vec<Job> = (0..count)
        .map(|number| job(&format!("ended-{number}"), 20, vec![step(1)]))
        .collect();
    for job in &jobs {
        fleet.submit(job).await;
    }
    while fleet.store.items("ended/").len() < count {
        sleep(Duration::from_millis(50)).await;
    }
    jobs
}

async fn state(store: &FakeStore, id: &JobId) -> StateOutcome {
    let queue = QUEUE.parse().expect("queue id is valid");
    let intake = JobIntake::new(store.clone());
    let state = intake.state(&queue, id, deadline()).await;
    state.expect("store answers")
}

/// Guards against a takeover that takes longer the more jobs have ended in the last minutes: while a new holder reads their
/// records, urgent jobs wait.
#[rstest]
#[tokio::test(start_paused = true)]
async fn takeover_does_not_depend_on_ended_jobs(#[values(10, 1000)] ended: usize) {
    let fleet = Fleet::start(2, 20).await;
    archive_jobs(&fleet, ended).await;
    let link = &fleet.instances[1].store.link;
    link.change(|link| link.page_time = PAGE_TIME);
    fleet.kill(0);
    let killed = Instant::now();
    let urgent = urgent_job("urgent", 300, vec![step(2)]);
    fleet.submit(&urgent).await;
    fleet.await_first_start(&urgent.id).await;
    let took = killed.elapsed();
    assert!(took < LEASE + TAKEOVER, "{took:?}");
}

/// Guards against ended jobs that callers no longer find, or can submit a second time, once their records are replaced.
#[tokio::test(start_paused = true)]
async fn archived_jobs_are_known_to_callers() {
    let fleet = Fleet::start(1, 2).await;
    let jobs = archive_jobs(&fleet, 3).await;
    assert!(fleet.store.items("requests/").is_empty());
    assert!(fleet.store.items("progress/").is_empty());
    let intake = JobIntake::new(fleet.store.connect());
    let starts = fleet.workers.starts().len();
    for job in &jobs {
        let known = StateOutcome::Known(JobState::Succeeded);
        assert_eq!(state(&fleet.store, &job.id).await, known);
        let again = intake.submit(job, deadline()).await;
        assert_eq!(again, Ok(SubmitOutcome::AlreadyAccepted));
        let cancelled = intake
            .cancel(&job.queue, &job.organisation, &job.id, deadline())
            .await;
        assert_eq!(cancelled, Ok(CancelOutcome::AlreadyEnded));
    }
    let mut other = jobs[0].clone();
    other.organisation = "south".parse().expect("organisation id is valid");
    let taken = intake.submit(&other, deadline()).await;
    assert_eq!(taken, Ok(SubmitOutcome::NameTaken));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.workers.starts().len(), starts);
}

/// Guards against a job that becomes unknown when it is archived, because the configuration has another queue for its path by
/// then: until it is archived, its state is shown in that case.
#[tokio::test(start_paused = true)]
async fn archived_job_is_shown_whatever_queue_its_path_has() {
    let fleet = Fleet::start(1, 2).await;
    let jobs = archive_jobs(&fleet, 1).await;
    let other = URGENT_QUEUE.parse().expect("queue id is valid");
    let intake = JobIntake::new(fleet.store.connect());
    let state = intake.state(&other, &jobs[0].id, deadline()).await;
    assert_eq!(state, Ok(StateOutcome::Known(JobState::Succeeded)));
}

/// Guards against a caller that is told that there is no such job while its records are being replaced.
#[tokio::test(start_paused = true)]
async fn job_is_known_at_every_moment() {
    let fleet = Fleet::start(1, 2).await;
    let job = job("a1", 30, vec![step(1)]);
    fleet.submit(&job).await;
    let mut reads = Vec::new();
    for _ in 0..200 {
        let (store, id) = (fleet.store.connect(), job.id.clone());
        reads.push(tokio::spawn(async move { state(&store, &id).await }));
        sleep(Duration::from_millis(1)).await;
    }
    for read in reads {
        let state = read.await.expect("read does not panic");
        assert_ne!(state, StateOutcome::NoSuchJob);
    }
    assert_eq!(fleet.store.items("ended/").len(), 1);
}

/// Guards against a holder that starts an archived job again, because a watch or a listing that took long names it once more.
#[tokio::test(start_paused = true)]
async fn archived_job_is_not_started_again() {
    let fleet = Fleet::start(1, 2).await;
    let jobs = archive_jobs(&fleet, 1).await;
    let starts = fleet.workers.starts().len();
    let value = serde_json::to_vec(&jobs[0]).expect("job can be encoded");
    fleet
        .store
        .put(&format!("requests/jobs/{}", jobs[0].id), &value);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.workers.starts().len(), starts);
}

/// Guards against an archive that grows for ever, because a new holder does not know what earlier ones have archived.
#[tokio::test(start_paused = true)]
async fn removes_what_earlier_terms_archived() {
    let fleet = Fleet::start(2, 2).await;
    archive_jobs(&fleet, 120).await;
    fleet.kill(0);
    sleep(Duration::from_secs(100)).await;
    assert_eq!(fleet.store.items("ended/").len(), 120);
    sleep(Duration::from_secs(230)).await;
    assert!(fleet.store.items("ended/").is_empty());
}

/// Guards against a job that callers no longer find soon after its end, or a record that stays for ever, because the wall clock of
/// the next holder differs from that of the holder that archived the job.
#[rstest]
#[case::behind(-900_000)]
#[case::ahead(900_000)]
#[tokio::test(start_paused = true)]
async fn archive_is_kept_as_long_whatever_the_next_holder_takes_for_the_time(
    #[case] wall_offset_ms: i64,
) {
    let fleet = Fleet::start(2, 2).await;
    let jobs = archive_jobs(&fleet, 1).await;
    fleet.instances[1].clock.set_wall_offset(wall_offset_ms);
    fleet.kill(0);
    sleep(STATUS_TIME).await;
    let known = StateOutcome::Known(JobState::Succeeded);
    assert_eq!(state(&fleet.store, &jobs[0].id).await, known);
    sleep(Duration::from_secs(210)).await;
    assert!(fleet.store.items("ended/").is_empty());
}
