//! Outages of the store and of workers, and links over which an answer or a record takes longer than a call may.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::{Fleet, gang, job, step, urgent_job};
use tokio::time::{Instant, sleep, timeout};

/// Long enough to cut the watches, and short enough that the lease of the holder lasts.
const OUTAGE: Duration = Duration::from_millis(300);
/// Longer than all attempts of one start order take.
const LOST_START_TIME: Duration = Duration::from_millis(1700);
/// How long a byte takes on a link of 2 Mbit/s of which other traffic takes three quarters.
const LOADED_LINK_BYTE_TIME: Duration = Duration::from_micros(16);
const START_LIMIT: Duration = Duration::from_millis(2700);

/// Guards against submissions that the holder does not see for as long as it cannot list all earlier ones: after an
/// outage of the store, urgent jobs inside their guarantee began 10 to 20 s late.
#[tokio::test(start_paused = true)]
async fn sees_submissions_after_outage_without_listing_all_keys() {
    let fleet = Fleet::start(1, 3).await;
    sleep(Duration::from_secs(1)).await;
    let link = &fleet.instances[0].store.link;
    link.change(|link| {
        link.store_silent = true;
        link.pages_lost = true;
    });
    sleep(OUTAGE).await;
    link.change(|link| link.store_silent = false);
    let job = job("a1", 300, vec![step(2)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, START_LIMIT).await;
}

/// Guards against a holder that sees no submission while it lists all requests of the last minutes again, because the store
/// has dropped its history.
#[tokio::test(start_paused = true)]
async fn sees_submissions_after_lost_history_without_listing_ended_jobs() {
    let fleet = Fleet::start(1, 20).await;
    for number in 0..600 {
        let ended = job(&format!("ended-{number}"), 20, vec![step(1)]);
        fleet.submit(&ended).await;
    }
    sleep(Duration::from_secs(3)).await;
    let link = &fleet.instances[0].store.link;
    link.change(|link| link.page_time = Duration::from_millis(300));
    fleet.store.suppress_watch_events();
    let missed = urgent_job("missed", 300, vec![step(2)]);
    let begun = Instant::now();
    fleet.submit(&missed).await;
    fleet.store.resume_watch_events();
    let urgent = urgent_job("urgent", 300, vec![step(2)]);
    fleet.submit(&urgent).await;
    for job in [missed, urgent] {
        fleet.await_first_start(&job.id).await;
        assert!(
            begun.elapsed() < START_LIMIT,
            "{}: {:?}",
            job.id,
            begun.elapsed()
        );
    }
}

/// Guards against a takeover that starts over with the first page whenever a page is lost, and so never ends.
#[tokio::test(start_paused = true)]
async fn takes_over_although_most_pages_are_lost() {
    let mut fleet = Fleet::start(1, 3).await;
    for number in 0..120 {
        fleet
            .store
            .put(&format!("requests/cancels/{number:04}"), b"1");
    }
    fleet.kill(0);
    fleet.add_instance();
    let link = &fleet.instances[1].store.link;
    link.change(|link| link.most_pages_lost = true);
    let job = job("a1", 300, vec![step(2)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, Duration::from_secs(20)).await;
}

/// Guards against a record that is sent again for ever, and with it all later ones, because the link needs longer for it than a
/// call to the store waits.
#[tokio::test(start_paused = true)]
async fn writes_record_that_takes_longer_than_call_timeout_to_send() {
    let fleet = Fleet::start(1, 20).await;
    let link = &fleet.instances[0].store.link;
    link.change(|link| link.byte_time = LOADED_LINK_BYTE_TIME);
    let large = job("large", 300, vec![step(10_000)]);
    fleet.submit(&large).await;
    let started = timeout(Duration::from_secs(5), fleet.await_first_start(&large.id));
    started.await.expect("record is written");
}

/// Guards against a gang that begins again seconds after a lost start order, because the worker holds the requests for the
/// reports that show that the run did not start.
#[rstest]
#[tokio::test(start_paused = true)]
async fn starts_again_soon_after_lost_start_order(
    #[values(0, 300, 600, 900, 1200)] since_report_ms: u64,
) {
    let fleet = Fleet::start(1, 3).await;
    sleep(Duration::from_secs(3)).await;
    sleep(Duration::from_millis(since_report_ms)).await;
    let link = &fleet.instances[0].store.link;
    link.change(|link| link.starts_lost = true);
    let job = urgent_job("a1", 300, vec![gang(2)]);
    fleet.submit(&job).await;
    sleep(LOST_START_TIME).await;
    link.change(|link| link.starts_lost = false);
    let lost_until = Instant::now();
    fleet.await_first_start(&job.id).await;
    assert!(
        lost_until.elapsed() < START_LIMIT,
        "{:?}",
        lost_until.elapsed()
    );
}
