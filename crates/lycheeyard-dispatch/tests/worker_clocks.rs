//! The clocks of workers, which state any time that fits.

#[path = "../src/lead/worker_clocks.rs"]
mod worker_clocks;

/// What the module takes from the crate that it belongs to.
mod ports {
    pub use lycheeyard_dispatch::WorkerClock;
}

use lycheeyard_jobs::{BootTime, WorkerKey};
use lycheeyard_protocol::Incarnation;
use ports::WorkerClock;
use rstest::rstest;
use worker_clocks::WorkerClocks;

/// Guards against a poller that ends on a clock at the end of its range, so that the leases of the worker's runs expire, and against a
/// deadline that wraps and lies in the past.
#[rstest]
#[case::usual(5000, 1000, 3000, 7000)]
#[case::earlier_time(5000, 3000, 1000, 3000)]
#[case::before_the_clock_began(5000, 9000, 1000, 0)]
#[case::last_clock(u64::MAX, 1000, 3000, u64::MAX)]
#[case::last_time(5000, 1000, u64::MAX, u64::MAX)]
fn translation_stays_in_range(
    #[case] clock: u64,
    #[case] received_at: u64,
    #[case] time: u64,
    #[case] expected: u64,
) {
    let worker = WorkerKey {
        id: "w-1".parse().expect("worker id is valid"),
        incarnation: Incarnation(1),
    };
    let clocks = WorkerClocks::default();
    clocks.record(&worker, WorkerClock(clock), BootTime(received_at));
    let translated = clocks.translate(&worker, BootTime(time));
    assert_eq!(translated, Some(WorkerClock(expected)));
}
