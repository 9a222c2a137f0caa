//! The stored record of silent workers: its deadlines, and that nothing is sent to a worker that it names.

mod support;

use lycheeyard_jobs::Job;
use lycheeyard_protocol::Epoch;
use rstest::rstest;
use serde_json::Value;
use std::time::Duration;
use support::{Fleet, first_worker, job, step};
use tokio::time::{Instant, sleep};

const KEY: &str = "silent-workers";
const RUN_MS: u64 = 3000;
/// Longer than a takeover takes.
const TAKEOVER: Duration = Duration::from_secs(6);

/// Returns the row of the first worker in the record, if it names that one.
fn first_row(fleet: &Fleet) -> Option<Value> {
    let item = fleet.store.item(KEY)?;
    let record: Value = serde_json::from_slice(&item.value).ok()?;
    let mut rows = record["workers"].as_array()?.iter();
    rows.find(|row| row["worker"] == "w-0").cloned()
}

// Guards against an instance that extends a lease, or starts something, on a worker that the record names: another instance that takes
// over then counts on the deadlines of the record.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_to_a_worker_while_the_record_names_it() {
    let fleet = Fleet::start(2, 1).await;
    sleep(Duration::from_secs(3)).await;
    fleet.kill(0);
    let row =
        r#"{"workers":[{"worker":"w-0","incarnation":1,"leases_ms":9000,"copies_ms":20000}]}"#;
    fleet.store.put(KEY, row.as_bytes());
    let job = job("a1", RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    let lease_until = fleet.workers.lease_until(&first_worker());
    let until = Instant::now() + TAKEOVER;
    while Instant::now() < until {
        if first_row(&fleet).is_some() {
            assert_eq!(fleet.workers.lease_until(&first_worker()), lease_until);
            assert_eq!(fleet.workers.starts().len(), 0);
        }
        sleep(Duration::from_millis(1)).await;
    }
    fleet.await_success(&job.id, Duration::from_secs(10)).await;
}

// Guards against an instance that calls workers while a record that it cannot read is stored: another one might read it.
#[tokio::test(start_paused = true)]
async fn damaged_record_is_replaced_before_anything_is_sent() {
    let fleet = Fleet::start(2, 1).await;
    sleep(Duration::from_secs(3)).await;
    fleet.kill(0);
    let damaged = r#"{"workers":[{"worker":"w-0","incarnation":1}]}"#;
    fleet.store.put(KEY, damaged.as_bytes());
    let former = fleet.workers.epoch(&first_worker());
    while fleet.workers.epoch(&first_worker()) == former {
        sleep(Duration::from_millis(1)).await;
    }
    let item = fleet.store.item(KEY).expect("the record exists");
    assert_eq!(item.value, br#"{"workers":[]}"#);
    let job = job("a1", RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, Duration::from_secs(10)).await;
}

/// Starts a job whose only worker falls silent for all instances right before its order is sent, and lists another worker. Returns when
/// the job was submitted.
async fn start_on_silent_worker(fleet: &Fleet, job: &Job) -> Instant {
    sleep(Duration::from_secs(3)).await;
    for instance in &fleet.instances {
        instance.store.link.silence_worker(&first_worker());
    }
    let submitted_at = Instant::now();
    fleet.submit(job).await;
    while fleet.workers.last_start_call(&first_worker()).is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    fleet.store.put("workers/w-1", b"1");
    submitted_at
}

// Guards against takeovers that move the deadlines of a silent worker, so that each lengthens the wait of a job for a run there.
#[rstest]
#[case::none(0, false)]
#[case::one(1, false)]
#[case::two_in_a_row(2, false)]
#[case::by_an_instance_that_started_later(1, true)]
#[tokio::test(start_paused = true)]
async fn takeovers_move_no_deadline(#[case] takeovers: usize, #[case] is_later: bool) {
    /// Three attempts of the order, 15 s for late copies, and a lease of 6 s with its margins.
    const WAIT: Duration = Duration::from_millis(1800 + 15_000 + 6620);
    /// Instances that do not schedule ask the store every 3 s.
    const MAX_LAG: Duration = Duration::from_secs(3);
    const LIMIT: Duration = Duration::from_millis(900);
    let mut fleet = Fleet::start(1 + if is_later { 0 } else { takeovers }, 1).await;
    let job = job("a1", RUN_MS, vec![step(1)]);
    let submitted_at = start_on_silent_worker(&fleet, &job).await;
    sleep(Duration::from_secs(4)).await;
    let row = first_row(&fleet).expect("the worker is recorded as silent");
    if is_later {
        fleet.add_instance();
        let link = &fleet.instances[takeovers].store.link;
        link.silence_worker(&first_worker());
    }
    for takeover in 0..takeovers {
        let former = fleet.holder().expect("an instance schedules");
        fleet.kill(former);
        sleep(TAKEOVER).await;
        assert!(fleet.holder().is_some_and(|holder| holder != former));
        assert_eq!(first_row(&fleet).as_ref(), Some(&row), "{takeover}");
    }
    while fleet.workers.starts().is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    let took = submitted_at.elapsed();
    let lag = if is_later { MAX_LAG * 2 } else { MAX_LAG };
    assert!(took < WAIT + lag + LIMIT, "{took:?}");
}

// Guards against a late copy of a start order that the next incarnation of a worker carries out, although it has answered this instance.
#[tokio::test(start_paused = true)]
async fn next_incarnation_of_a_silent_worker_is_called_with_a_newer_epoch() {
    let fleet = Fleet::start(1, 1).await;
    let job = job("a1", RUN_MS, vec![step(1)]);
    start_on_silent_worker(&fleet, &job).await;
    sleep(Duration::from_secs(4)).await;
    let term = fleet.workers.epoch(&first_worker());
    fleet.workers.restart(&first_worker());
    fleet.instances[0].store.link.reach_worker(&first_worker());
    while fleet.workers.epoch(&first_worker()) == Epoch(0) {
        sleep(Duration::from_millis(1)).await;
    }
    assert!(fleet.workers.epoch(&first_worker()) > term);
    fleet.await_success(&job.id, Duration::from_secs(30)).await;
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}
