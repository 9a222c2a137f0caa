//! Which of several instances of different sizes schedules.

mod support;

use lycheeyard_dispatch::InstanceSize;
use lycheeyard_standin::CapturedLog;
use std::time::Duration;
use support::{Fleet, job, step};
use tokio::time::{Instant, sleep};

const LARGE: InstanceSize = InstanceSize {
    cpu_milli: 500,
    memory_mb: 512,
    link_mbps: 200,
};
const SMALL: InstanceSize = InstanceSize {
    cpu_milli: 120,
    memory_mb: 160,
    link_mbps: 20,
};
/// The waits contain random delays.
const ATTEMPTS: u32 = 10;
/// The duration of the scheduling lease.
const LEASE: Duration = Duration::from_secs(2);
/// How long a planned change of the holder may take until the next one starts work.
const HANDOVER: Duration = Duration::from_millis(300);
/// How much longer than the lease a takeover may take.
const TAKEOVER: Duration = Duration::from_millis(500);

/// Starts instances of the given sizes within 0.3 s, the first one first.
async fn start(sizes: &[InstanceSize]) -> Fleet {
    let mut fleet = Fleet::start(0, 1).await;
    for size in sizes {
        fleet.add_instance_of_size(*size);
        sleep(Duration::from_millis(300) / u32::try_from(sizes.len()).expect("few instances"))
            .await;
    }
    sleep(Duration::from_secs(2)).await;
    fleet
}

/// Waits until another instance than `former` schedules.
async fn await_successor(fleet: &Fleet, former: usize) -> usize {
    loop {
        match fleet.holder() {
            Some(holder) if holder != former => return holder,
            _ => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Guards against a small instance that schedules although a larger one started at the same time.
#[tokio::test(start_paused = true)]
async fn large_instance_schedules_after_common_start() {
    for _ in 0..ATTEMPTS {
        let fleet = start(&[SMALL, SMALL, SMALL, LARGE]).await;
        assert_eq!(fleet.holder(), Some(3));
    }
}

/// Guards against a takeover by a small instance while a larger one is in touch with the store.
#[tokio::test(start_paused = true)]
async fn large_instance_takes_over() {
    for _ in 0..ATTEMPTS {
        let fleet = start(&[LARGE, SMALL, SMALL, SMALL, SMALL, LARGE]).await;
        let former = fleet.holder().expect("an instance schedules");
        fleet.kill(former);
        let killed = Instant::now();
        let successor = await_successor(&fleet, former).await;
        assert_eq!(former + successor, 5);
        let took = killed.elapsed();
        assert!(took < LEASE + TAKEOVER, "{took:?}");
    }
}

/// Guards against an installation without a scheduler, or with a late one, when all large instances are away.
#[tokio::test(start_paused = true)]
async fn small_instance_takes_over_when_it_is_alone() {
    let fleet = start(&[LARGE, SMALL]).await;
    assert_eq!(fleet.holder(), Some(0));
    fleet.kill(0);
    let killed = Instant::now();
    assert_eq!(await_successor(&fleet, 0).await, 1);
    assert!(
        killed.elapsed() < LEASE + TAKEOVER,
        "{:?}",
        killed.elapsed()
    );
}

/// Guards against a small instance that goes on scheduling after a large one has come back, and against a hand-over that
/// leaves the installation without a scheduler for long, or stops work.
#[tokio::test(start_paused = true)]
async fn small_holder_hands_over_to_large_instance() {
    let mut fleet = start(&[SMALL]).await;
    let running = job("running", 20_000, vec![step(4)]);
    fleet.submit(&running).await;
    fleet.add_instance_of_size(LARGE);
    while fleet.holder() == Some(0) {
        sleep(Duration::from_millis(1)).await;
    }
    let released = Instant::now();
    let first = job("first", 300, vec![step(2)]);
    fleet.submit(&first).await;
    fleet.await_first_start(&first.id).await;
    assert!(released.elapsed() < HANDOVER, "{:?}", released.elapsed());
    assert_eq!(fleet.holder(), Some(1));
    fleet
        .await_success(&running.id, Duration::from_secs(30))
        .await;
    assert_eq!(fleet.workers.starts().len(), 6);
}

/// Guards against a holder that changes each time when a large instance comes and goes.
#[tokio::test(start_paused = true)]
async fn flapping_instance_rarely_changes_holder() {
    let mut fleet = start(&[SMALL]).await;
    fleet.add_instance_of_size(LARGE);
    let mut changes = 0;
    let mut holder = fleet.holder();
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(60) {
        let is_away = begun.elapsed().as_secs() % 8 >= 4;
        let link = &fleet.instances[1].store.link;
        link.change(|link| link.store_refuses = is_away);
        if fleet.holder().is_some() && fleet.holder() != holder {
            holder = fleet.holder();
            changes += 1;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(changes, 0);
}

/// Guards against instances of one size that take the lease from each other.
#[tokio::test(start_paused = true)]
async fn instances_of_one_size_do_not_hand_over() {
    let fleet = start(&[SMALL, SMALL, SMALL]).await;
    let epoch = fleet.store.item("scheduler").map(|item| item.revision);
    sleep(Duration::from_secs(60)).await;
    assert_eq!(
        fleet.store.item("scheduler").map(|item| item.revision),
        epoch
    );
}

/// Guards against a request to hand over that leaves no trace in the log because the store did not answer it.
#[tokio::test(start_paused = true)]
async fn unanswered_request_to_hand_over_is_logged() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let mut fleet = start(&[SMALL]).await;
    fleet.add_instance_of_size(LARGE);
    let link = &fleet.instances[1].store.link;
    link.change(|link| link.write_delay = Some(Duration::from_secs(60)));
    sleep(Duration::from_secs(14)).await;
    assert_eq!(fleet.holder(), Some(0));
    let lines = log.lines_of("term: a request to hand over got no answer");
    assert_eq!(lines.len(), 1, "{lines:?}");
}
