//! Workers that start again under their ids, as the instance that schedules sees them in reports and in the list.
//!
//! Each test captures its log: a log line that a thread without a subscriber reaches first may stay disabled in all threads.

mod support;

use lycheeyard_standin::CapturedLog;
use std::time::Duration;
use support::{Fleet, first_worker, job, step};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(10);
const RUN_MS: u64 = 3000;

/// How many captured lines have a message.
fn count(log: &CapturedLog, message: &str) -> usize {
    let lines = log.lines_of(message);
    let lines = lines.iter().filter(|line| line["message"] == message);
    lines.count()
}

// Guards against a run that counts as lost because a list that omits it came from an unknown incarnation of its worker.
#[tokio::test(start_paused = true)]
async fn report_without_incarnation_proves_no_absence() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let worker = first_worker();
    let fleet = Fleet::start(1, 1).await;
    let job = job("a1", RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    fleet.await_first_start(&job.id).await;
    sleep(Duration::from_secs(1)).await;
    fleet.workers.set_anonymous(&worker, true);
    fleet.workers.restart(&worker);
    sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.workers.starts().len(), 1);
    assert_eq!(count(&log, "worker: report without an incarnation"), 1);
    fleet.workers.set_anonymous(&worker, false);
    fleet.store.put("workers/w-0", b"2");
    fleet.await_success(&job.id, LIMIT).await;
    assert_eq!(fleet.workers.starts().len(), 2);
}

// Guards against a worker that gets runs, with deadlines on a clock that may be that of another incarnation.
#[tokio::test(start_paused = true)]
async fn worker_that_tells_no_incarnation_gets_no_run() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let worker = first_worker();
    let mut fleet = Fleet::start(0, 1).await;
    fleet.workers.set_anonymous(&worker, true);
    fleet.add_instance();
    let job = job("a1", RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    sleep(Duration::from_secs(4)).await;
    assert!(fleet.workers.starts().is_empty());
    fleet.workers.set_anonymous(&worker, false);
    fleet.await_success(&job.id, LIMIT).await;
}

// Guards against runs that end, and a worker that is asked no more, because of an answer of an incarnation that has ended.
#[tokio::test(start_paused = true)]
async fn report_of_incarnation_that_has_ended_is_ignored() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let worker = first_worker();
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(2)).await;
    fleet.workers.restart_as(&worker, 2);
    sleep(Duration::from_secs(2)).await;
    fleet.store.put("workers/w-0", b"2");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(count(&log, "worker: started again under its id"), 1);
    fleet.workers.restart_as(&worker, 1);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(count(&log, "worker: started again under its id"), 1);
    let ignored = "worker: report of an incarnation that has ended was ignored";
    assert!(count(&log, ignored) > 0);
    fleet.workers.restart_as(&worker, 3);
    fleet.store.put("workers/w-0", b"3");
    let job = job("a1", RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, LIMIT).await;
}

// Guards against a poller that ends with an answer that the scheduling loop ignores: nobody asks the worker any more.
#[tokio::test(start_paused = true)]
async fn worker_is_asked_again_after_an_ignored_report() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let worker = first_worker();
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(2)).await;
    fleet.workers.restart_as(&worker, 2);
    sleep(Duration::from_secs(2)).await;
    fleet.store.put("workers/w-0", b"2");
    sleep(Duration::from_secs(1)).await;
    fleet.workers.restart_as(&worker, 1);
    sleep(Duration::from_secs(2)).await;
    fleet.workers.restart_as(&worker, 2);
    let job = job("a1", RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, LIMIT).await;
}

// Guards against logs that do not tell whether the list or a report showed that a worker had started again.
#[tokio::test(start_paused = true)]
async fn log_tells_what_showed_another_incarnation() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let worker = first_worker();
    let reported = || count(&log, "worker: started again under its id");
    let listed = || count(&log, "worker: listed as another incarnation");
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!((reported(), listed()), (0, 0));
    // No report shows the former incarnation any more, and its leases expire.
    fleet.instances[0].store.link.silence_worker(&worker);
    sleep(Duration::from_secs(10)).await;
    fleet.workers.restart_as(&worker, 4);
    fleet.store.put("workers/w-0", b"4");
    sleep(Duration::from_secs(3)).await;
    assert_eq!((reported(), listed()), (0, 1));
    fleet.instances[0].store.link.reach_worker(&worker);
    sleep(Duration::from_secs(1)).await;
    fleet.workers.restart_as(&worker, 6);
    sleep(Duration::from_secs(3)).await;
    assert_eq!((reported(), listed()), (1, 1));
    fleet.store.put("workers/w-0", b"6");
    sleep(Duration::from_secs(1)).await;
    fleet.store.put("workers/w-0", b"4");
    fleet.store.put("workers/w-0", b"3");
    sleep(Duration::from_secs(1)).await;
    assert_eq!((reported(), listed()), (1, 1));
    let ignored = "worker: listing of an incarnation that has ended was ignored";
    assert_eq!(count(&log, ignored), 1);
    let unclear = "worker: the list names another incarnation; reports decide";
    assert_eq!(count(&log, unclear), 1);
}
