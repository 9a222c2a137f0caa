//! Which of several instances of different sizes schedules.

mod support;

use lycheeyard_dispatch::InstanceSize;
use std::time::Duration;
use support::Fleet;
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
