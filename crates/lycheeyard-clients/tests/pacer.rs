//! The share of time that paced work takes.

use lycheeyard_clients::Pacer;
use std::time::Duration;
use tokio::time::{Instant, advance, sleep_until};

const PAUSE_FACTOR: u32 = 3;

/// Guards against a holder on a slow processor whose planning leaves no time to carry its decisions out: urgent jobs
/// inside their guarantee began seconds late.
#[tokio::test(start_paused = true)]
async fn work_takes_a_fixed_share_however_slow_it_is() {
    for work in [1, 20, 400].map(Duration::from_millis) {
        let mut pacer = Pacer::new(PAUSE_FACTOR);
        let begun = Instant::now();
        let mut worked = Duration::ZERO;
        for _ in 0..50 {
            sleep_until(pacer.next_at()).await;
            assert!(pacer.is_open());
            advance(work).await;
            worked += work;
            pacer.record(work);
            assert!(!pacer.is_open());
        }
        sleep_until(pacer.next_at()).await;
        assert!(worked * (PAUSE_FACTOR + 1) <= begun.elapsed());
    }
}

/// Guards against a pause where the work costs nothing.
#[tokio::test(start_paused = true)]
async fn work_without_cost_is_not_delayed() {
    let mut pacer = Pacer::new(PAUSE_FACTOR);
    pacer.record(Duration::ZERO);
    assert!(pacer.is_open());
}
