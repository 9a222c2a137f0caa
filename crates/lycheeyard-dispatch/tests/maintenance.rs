//! Maintenance waves across a change of the scheduling instance. Guards against a wave that stops with its holder, and
//! against more machines in maintenance at a time than the cap, for example after answers were lost.

mod support;

use lycheeyard_dispatch::{InstanceSize, PassPart};
use lycheeyard_jobs::WaveProgress;
use rstest::rstest;
use std::time::Duration;
use support::Fleet;
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(60);
/// Longer than the lease of the holder.
const SUSPENSION: Duration = Duration::from_secs(4);

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

/// Suspends the holder in the pass that sends the first order, after the pass has checked the term.
fn suspend_holder_before_first_order(fleet: &Fleet) {
    let store = fleet.store.connect();
    let machines = fleet.machines.clone();
    let is_recorded = move || {
        let record = store.item("maintenance/7").map(|item| item.value);
        let record = record.and_then(|value| serde_json::from_slice::<WaveProgress>(&value).ok());
        record.is_some_and(|record| !record.ordered.is_empty()) && machines.begun() == 0
    };
    fleet
        .clock
        .suspend_once(PassPart::Send, SUSPENSION, is_recorded);
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

/// Guards against a maintenance order of a holder whose process was suspended after its pass had checked the term, and whose term
/// has ended meanwhile. The successor is told of no such order, and may have given the machine's turn to another one.
#[tokio::test(start_paused = true)]
async fn resumed_holder_sends_no_maintenance_order_after_its_lease() {
    let fleet = Fleet::start(1, 1).await;
    fleet.machines.add(4);
    suspend_holder_before_first_order(&fleet);
    fleet.store.put("waves/7", b"4");
    await_completed(&fleet).await;
    assert!(fleet.clock.was_suspended());
    assert_eq!(fleet.machines.orders_after_term(), 0);
    assert_eq!(fleet.machines.begun(), 4);
    assert_eq!(fleet.machines.violations(), Vec::<String>::new());
}

/// Guards against an order that a holder withholds after a suspension and never sends, although its term goes on: the store pauses
/// its leases here. The wave would end only with the term.
#[tokio::test(start_paused = true)]
async fn withheld_maintenance_order_is_sent_once_the_term_is_confirmed() {
    let fleet = Fleet::start(1, 1).await;
    fleet.store.pause_leases();
    fleet.machines.add(4);
    let term = fleet.store.item("scheduler").map(|item| item.revision);
    suspend_holder_before_first_order(&fleet);
    fleet.store.put("waves/7", b"4");
    await_completed(&fleet).await;
    assert!(fleet.clock.was_suspended());
    assert_eq!(
        fleet.store.item("scheduler").map(|item| item.revision),
        term
    );
    assert_eq!(fleet.machines.begun(), 4);
    assert_eq!(fleet.machines.violations(), Vec::<String>::new());
}
