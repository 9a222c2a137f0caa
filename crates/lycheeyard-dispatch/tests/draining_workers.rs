//! Workers that announce that they leave while orders to them are being sent.

mod support;

use lycheeyard_protocol::WorkerId;
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, StartFault, job, step};
use tokio::time::{Instant, sleep};

/// How soon the holder has to have heard of a change in the list of workers while the store answers.
const HEARD_WITHIN: Duration = Duration::from_millis(300);
/// Longer than all attempts of the orders to one worker take.
const SENDING_TIME: Duration = Duration::from_secs(6);
const NEVER: Duration = Duration::from_secs(60);

/// Guards against start orders that are sent by what was known of a worker when they were issued: later attempts of an unanswered
/// order, and orders that waited behind it, reached a worker seconds after it had announced that it leaves.
#[rstest]
#[case::later_attempts(1)]
#[case::waiting_orders(4)]
#[tokio::test(start_paused = true)]
async fn no_start_is_sent_to_worker_that_has_announced_that_it_leaves(#[case] tasks: u32) {
    let fleet = Fleet::start(1, 1).await;
    let worker: WorkerId = "w-0".parse().expect("worker id is valid");
    let job = job("a1", 300, vec![step(tasks)]);
    fleet
        .workers
        .set_start_faults(&job.id, &[StartFault::ExecutedAfter(NEVER); 3]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(100)).await;
    assert!(fleet.workers.last_start_call(&worker).is_some());
    fleet.drain_worker(&worker);
    let announced_at = Instant::now();
    sleep(SENDING_TIME).await;
    let last = fleet.workers.last_start_call(&worker);
    let late = last.map(|last| last.saturating_duration_since(announced_at));
    assert!(late < Some(HEARD_WITHIN), "{late:?}");
    assert!(fleet.workers.starts().is_empty());
}
