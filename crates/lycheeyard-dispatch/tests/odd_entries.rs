//! Entries of another writer among those of the workers.
//!
//! Each test captures its log: a log line that a thread without a subscriber reaches first may stay disabled in all threads.

mod support;

use lycheeyard_jobs::Job;
use lycheeyard_standin::CapturedLog;
use std::time::Duration;
use support::{Fleet, job, step};
use tokio::time::sleep;

/// Enough for several pages of a listing, each of which has some of them.
const ODD_ENTRIES: usize = 130;
const ODD_VALUES: [&[u8]; 6] = [
    b"",
    b"{",
    b"\xff\xfe",
    b"-1",
    b"18446744073709551616",
    b"1 ready",
];
const LIMIT: Duration = Duration::from_secs(10);

/// The accelerators of one worker.
const ACCELERATORS: u32 = 8;

fn starts_of(fleet: &Fleet, job: &Job) -> usize {
    let starts = fleet.workers.starts();
    starts
        .iter()
        .filter(|(task, ..)| task.step.job == job.id)
        .count()
}

async fn assert_all_workers_run(fleet: &Fleet, name: &str, workers: u32) {
    let job = job(name, 1000, vec![step(workers * ACCELERATORS)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, LIMIT).await;
}

/// Guards against an instance that ends, or does not read the list to its end, over odd entries as events of a watch and on each page
/// of a listing: at the start of a term and after the store has compacted its history.
#[tokio::test(start_paused = true)]
async fn odd_entries_on_each_page_and_in_each_event_are_passed_over() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let fleet = Fleet::start(2, 3).await;
    for number in 0..ODD_ENTRIES {
        let value = ODD_VALUES[number % ODD_VALUES.len()];
        // Keys before and after those of the workers, some of which name no worker.
        for key in [
            format!("a-{number}"),
            format!("x-{number}"),
            format!("a b/{number}"),
        ] {
            fleet.store.put(&format!("workers/{key}"), value);
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_all_workers_run(&fleet, "watched", 3).await;
    fleet.store.compact_history();
    sleep(Duration::from_secs(2)).await;
    fleet.store.put("workers/w-9", b"1");
    assert_all_workers_run(&fleet, "compacted", 4).await;
    assert_eq!(log.lines_of("workers/a-7\"").len(), 1);
    fleet.kill(0);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.holder(), Some(1));
    assert_all_workers_run(&fleet, "listed", 4).await;
    sleep(Duration::from_secs(120)).await;
    assert_eq!(fleet.holder(), Some(1));
    assert_eq!(log.lines_of("workers/a-7\"").len(), 2, "one in each term");
}

/// Guards against work that is lost since the entry of its worker is overwritten: the runs go on, the worker gets no others until its
/// entry is back, and the rest of the list is followed although the odd entry is written ten times a second.
#[tokio::test(start_paused = true)]
async fn runs_go_on_while_the_entry_of_their_worker_is_odd() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let fleet = Fleet::start(2, 2).await;
    let held = job("long", 20_000, vec![step(2 * ACCELERATORS)]);
    fleet.submit(&held).await;
    while starts_of(&fleet, &held) < 2 * ACCELERATORS as usize {
        sleep(Duration::from_millis(10)).await;
    }
    fleet.store.put("workers/w-5", b"1");
    for number in 0..100 {
        let value = [ODD_VALUES[number % ODD_VALUES.len()], b"odd"].concat();
        fleet.store.put("workers/w-0", &value);
        sleep(Duration::from_millis(100)).await;
    }
    assert_all_workers_run(&fleet, "elsewhere", 1).await;
    fleet.await_success(&held.id, Duration::from_secs(30)).await;
    assert_eq!(starts_of(&fleet, &held), 2 * ACCELERATORS as usize);
    assert_eq!(fleet.holder(), Some(0));
    assert_eq!(log.lines_of("workers/w-0").len(), 1);
    let waiting = job("waiting", 1000, vec![step(3 * ACCELERATORS)]);
    fleet.submit(&waiting).await;
    sleep(Duration::from_millis(800)).await;
    assert_eq!(starts_of(&fleet, &waiting), 2 * ACCELERATORS as usize);
    fleet.await_success(&waiting.id, LIMIT).await;
    fleet.store.put("workers/w-0", b"1");
    sleep(Duration::from_secs(1)).await;
    assert_all_workers_run(&fleet, "mended", 3).await;
}
