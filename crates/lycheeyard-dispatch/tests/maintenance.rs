//! Maintenance waves across a change of the scheduling instance. Guards against a wave that stops with its holder, and
//! against more machines in maintenance at a time than the cap, for example after answers were lost.

mod support;

use lycheeyard_dispatch::InstanceSize;
use rstest::rstest;
use std::time::Duration;
use support::Fleet;
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(60);

fn wave_state(fleet: &Fleet) -> Option<String> {
    let item = fleet.store.item("wave-states/7")?;
    String::from_utf8(item.value).ok()
}

async fn await_completed(fleet: &Fleet) {
    let until = Instant::now() + LIMIT;
    while wave_state(fleet).as_deref() != Some("completed") {
        assert!(
            Instant::now() < until,
            "the wave is {:?}",
            wave_state(fleet)
        );
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn executes_wave_and_publishes_its_state() {
    let fleet = Fleet::start(2, 1).await;
    fleet.machines.add(4);
    fleet.store.put("waves/7", b"3");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(wave_state(&fleet).as_deref(), Some("running"));
    await_completed(&fleet).await;
    assert_eq!(fleet.machines.begun(), 3);
    assert_eq!(fleet.machines.violations(), Vec::<String>::new());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn successor_completes_wave_of_killed_holder(
    #[values(0, 5, 10, 20, 200, 700, 705, 710, 715, 720, 730, 800, 2500, 4000)] moment: u64,
    #[values(0, 1)] lost_answers: u32,
) {
    let fleet = Fleet::start(3, 1).await;
    fleet.machines.add(4);
    fleet.machines.lose_answers(lost_answers);
    fleet.store.put("waves/7", b"4");
    sleep(Duration::from_millis(moment)).await;
    fleet.kill(0);
    await_completed(&fleet).await;
    assert_eq!(fleet.machines.begun(), 4);
    assert_eq!(fleet.machines.violations(), Vec::<String>::new());
}

/// Guards against orders of two holders for one machine within a short time: a small holder hands over to a large instance
/// only when no wave is open.
#[tokio::test(start_paused = true)]
async fn holder_does_not_hand_over_during_wave() {
    let small = InstanceSize {
        cpu_milli: 120,
        ..InstanceSize::default()
    };
    let mut fleet = Fleet::start(0, 1).await;
    fleet.add_instance_of_size(small);
    sleep(Duration::from_secs(2)).await;
    fleet.machines.add(16);
    fleet.store.put("waves/7", b"16");
    fleet.add_instance();
    while wave_state(&fleet).as_deref() != Some("completed") {
        assert_eq!(fleet.holder(), Some(0));
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.holder(), Some(1));
    assert_eq!(fleet.machines.begun(), 16);
    assert_eq!(fleet.machines.violations(), Vec::<String>::new());
}
