//! Rows of the record of silent workers for a worker that has announced its end, whose leases are shorter than those of others.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::{Fleet, first_worker, job, step};
use tokio::time::{Instant, sleep, sleep_until};

const RUN_MS: u64 = 120_000;
const LEASE: Duration = Duration::from_secs(10);
const UPTIME: Duration = Duration::from_secs(5);
/// How long after the end of the former term the holder has started that extends the leases, so that it dates that end late.
const LATE_BY: Duration = Duration::from_secs(4);

async fn await_holder(fleet: &Fleet, is_wanted: impl Fn(usize) -> bool) -> usize {
    loop {
        if let Some(holder) = fleet.holder().filter(|holder| is_wanted(*holder)) {
            return holder;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

// Guards against a task that runs twice: a holder that dates the end of the former term late extends short leases beyond what follows from that
// end for its successor, which dates it exactly, and the row must not hide that.
#[rstest]
#[tokio::test(start_paused = true)]
async fn row_of_a_leaving_worker_covers_the_last_extension(
    #[values(7000, 7200, 7400, 7600, 7800, 8000, 8200, 8400, 8600, 8800, 9000)]
    silent_after_ms: u64,
) {
    let mut fleet = Fleet::start_with_leases(3, 1, LEASE).await;
    fleet.submit(&job("a1", RUN_MS, vec![step(1)])).await;
    sleep(UPTIME).await;
    fleet.store.put("workers/w-1", b"1");
    fleet.drain_worker(&first_worker());
    sleep(Duration::from_secs(3)).await;
    fleet.kill(0);
    while fleet.holder().is_some() {
        sleep(Duration::from_millis(1)).await;
    }
    let ended_at = Instant::now();
    let between = await_holder(&fleet, |holder| holder != 0).await;
    fleet.kill(between);
    let exact = 3 - between;
    let cut_off = |fleet: &Fleet, is_cut: bool| {
        let link = &fleet.instances[exact].store.link;
        link.change(|link| link.store_silent = is_cut);
    };
    cut_off(&fleet, true);
    sleep_until(ended_at + LATE_BY).await;
    fleet.add_instance();
    await_holder(&fleet, |holder| holder == 3).await;
    cut_off(&fleet, false);
    sleep_until(ended_at + Duration::from_millis(silent_after_ms)).await;
    for instance in &fleet.instances {
        instance.store.link.silence_worker(&first_worker());
    }
    while fleet.store.item("silent-workers").is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    fleet.stop(3).await;
    sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.workers.starts().len(), 2);
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}
