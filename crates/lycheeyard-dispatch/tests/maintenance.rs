//! Waves of maintenance over instances that come and go.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::Fleet;
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(60);

fn state(fleet: &Fleet) -> Option<String> {
    let item = fleet.store.item("wave-states/7")?;
    String::from_utf8(item.value).ok()
}

async fn await_completed(fleet: &Fleet) {
    let until = Instant::now() + LIMIT;
    while state(fleet).as_deref() != Some("completed") {
        assert!(Instant::now() < until, "the wave is {:?}", state(fleet));
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_wave_is_carried_out_and_its_state_told() {
    let fleet = Fleet::start(2, 1).await;
    fleet.machines.add(4);
    fleet.store.put("waves/7", b"3");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(state(&fleet).as_deref(), Some("running"));
    await_completed(&fleet).await;
    assert_eq!(fleet.machines.begun(), 3);
    assert_eq!(fleet.machines.faults(), Vec::<String>::new());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_killed_holder_leaves_the_wave_to_its_successor(
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
    assert_eq!(fleet.machines.faults(), Vec::<String>::new());
}
