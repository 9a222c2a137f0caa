//! The workers that have announced that they leave, as senders of orders see them.

#[path = "../src/lead/leaving_workers.rs"]
mod leaving_workers;
mod support;

use leaving_workers::LeavingWorkers;
use lycheeyard_dispatch::WorkerReader;
use lycheeyard_jobs::WorkerInfo;
use std::time::Duration;
use support::TestReader;
use tokio::time::advance;

/// Longer than the worker is remembered after it has left the list.
const LONG_AFTER: Duration = Duration::from_secs(60);

fn leaving_worker(id: &str) -> WorkerInfo {
    let worker = TestReader.read(&format!("workers/{id}"), b"1 draining");
    worker.expect("entry is valid")
}

/// Guards against a list of workers that leave that grows until the term ends, since those that are gone stay in it.
#[tokio::test(start_paused = true)]
async fn worker_that_is_gone_is_forgotten() {
    let leaving = LeavingWorkers::default();
    let (gone, present) = (leaving_worker("w-0"), leaving_worker("w-1"));
    leaving.update(&gone);
    leaving.update(&present);
    leaving.unlist(&gone.key.id);
    advance(LONG_AFTER).await;
    leaving.update(&present);
    assert!(!leaving.contains(&gone.key));
    assert!(leaving.contains(&present.key));
}

/// Guards against a start order to a worker that is about to exit, since its entry was away for a moment.
#[tokio::test(start_paused = true)]
async fn worker_whose_entry_is_away_for_a_moment_still_leaves() {
    let leaving = LeavingWorkers::default();
    let worker = leaving_worker("w-0");
    leaving.update(&worker);
    leaving.unlist(&worker.key.id);
    advance(Duration::from_secs(2)).await;
    assert!(leaving.contains(&worker.key));
    leaving.update(&worker);
    advance(LONG_AFTER).await;
    leaving.update(&leaving_worker("w-1"));
    assert!(leaving.contains(&worker.key));
}

/// Guards against a worker that is remembered until the term ends, since a new full list lacks it.
#[tokio::test(start_paused = true)]
async fn worker_that_a_new_list_lacks_is_forgotten() {
    let leaving = LeavingWorkers::default();
    let (gone, present) = (leaving_worker("w-0"), leaving_worker("w-1"));
    leaving.update(&gone);
    leaving.replace(std::slice::from_ref(&present));
    advance(LONG_AFTER).await;
    leaving.replace(std::slice::from_ref(&present));
    assert!(!leaving.contains(&gone.key));
    assert!(leaving.contains(&present.key));
}

/// Guards against a former incarnation that stays in the list of workers that leave after the worker has started again under its id.
#[tokio::test(start_paused = true)]
async fn former_incarnation_is_forgotten() {
    let leaving = LeavingWorkers::default();
    let former = leaving_worker("w-0");
    leaving.update(&former);
    let restarted = TestReader.read("workers/w-0", b"2");
    let restarted = restarted.expect("entry is valid");
    leaving.update(&restarted);
    advance(LONG_AFTER).await;
    leaving.update(&restarted);
    assert!(!leaving.contains(&former.key));
}
