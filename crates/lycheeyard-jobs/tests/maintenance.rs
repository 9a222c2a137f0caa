//! Waves of maintenance: each machine of a wave is away once, a few at a time.

mod support;

use lycheeyard_jobs::{Step, StepKey, Wave, WaveNumber, WaveState};
use lycheeyard_protocol::JobState;
use lycheeyard_standin::{SimulatedSite, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{BULK, ORDINARY, URGENT, assert_kept, gang, id, job, second, site, step};

const WAVE: WaveNumber = WaveNumber(3);

fn ask(site: &mut SimulatedSite, machines: usize, cap: usize, within: Duration) {
    let ids = site.workers.keys().take(machines);
    let ids = ids.map(|id| id.as_str().parse().expect("a machine"));
    site.ask_for_wave(Wave {
        number: WAVE,
        machines: ids.collect(),
        due_at: site.now.wall.after(within),
        cap,
    });
}

/// Lets time pass until the wave is done; the time that it took, or none if it is not done by `limit`.
fn await_wave(site: &mut SimulatedSite, limit: Duration) -> Option<Duration> {
    let since = site.now.wall;
    while site.now.wall.since(since) < limit {
        site.advance(Duration::from_millis(50));
        if site.wave_state(WAVE) == Some(WaveState::Completed) {
            return Some(site.now.wall.since(since));
        }
    }
    None
}

#[rstest]
fn idle_machines_begin_in_good_time(#[values(1, 2, 5)] cap: usize) {
    let mut site = site(2, 4);
    ask(&mut site, 6, cap, second(40));
    site.advance(second(1));
    assert_eq!(site.wave_state(WAVE), Some(WaveState::Running));
    assert!(await_wave(&mut site, second(40)).is_some());
    assert_eq!(site.machines.begun[&WAVE].len(), 6);
    assert_kept(&site);
}

#[test]
fn work_that_ends_in_time_is_not_stopped() {
    let mut site = site(1, 4);
    site.submit(job(&site, "bulk", BULK, vec![step(4, 8, 4000)]));
    site.advance(second(1));
    ask(&mut site, 4, 2, second(60));
    assert!(await_wave(&mut site, second(60)).is_some());
    assert!(site.wasted < f64::EPSILON, "{}", site.wasted);
    assert!(site.settle(second(20)));
    assert_kept(&site);
}

#[test]
fn work_that_is_too_long_is_stopped_so_that_the_wave_is_in_time() {
    let mut site = site(1, 4);
    site.submit(job(&site, "bulk", BULK, vec![step(4, 8, 120_000)]));
    site.advance(second(1));
    ask(&mut site, 4, 1, second(40));
    let took = await_wave(&mut site, second(60)).expect("an end");
    assert!(took < second(40), "{took:?}");
    assert_kept(&site);
}

#[test]
fn checkpoints_outlive_a_wave() {
    let mut site = site(1, 2);
    let saving = Step {
        checkpointing: true,
        ..step(2, 8, 20_000)
    };
    let submitted = site.now.wall;
    site.submit(job(&site, "bulk", BULK, vec![saving]));
    site.advance(second(10));
    ask(&mut site, 2, 1, second(14));
    assert!(site.settle(second(60)));
    let took = site.ended_at[&id("bulk")].since(submitted);
    assert!(took < second(32), "{took:?}");
    assert_kept(&site);
}

#[test]
fn urgent_work_goes_on_during_a_wave() {
    let mut site = site(2, 4);
    ask(&mut site, 8, 2, second(60));
    for number in 0..40 {
        let name = format!("urgent-{number}");
        let submitted = site.now.wall;
        site.submit(job(&site, &name, URGENT, vec![gang(2, 8, 400)]));
        site.advance(second(1));
        assert_eq!(site.state(&id(&name)), JobState::Succeeded, "{name}");
        assert!(site.ended_at[&id(&name)].since(submitted) < second(1));
    }
    assert!(await_wave(&mut site, second(60)).is_some());
    assert_kept(&site);
}

#[test]
fn long_running_tasks_move_over_within_what_may_be_missing() {
    let mut site = site(1, 4);
    let web = Step {
        long_running: true,
        max_unavailable: Some(1),
        ..step(8, 2, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![web]));
    site.advance(second(3));
    ask(&mut site, 4, 2, second(60));
    let step = StepKey {
        job: id("web"),
        occurrence: 0,
        step: 0,
    };
    let since = site.now.wall;
    while site.wave_state(WAVE) != Some(WaveState::Completed) {
        site.advance(Duration::from_millis(20));
        assert!(site.at_work(&step) >= 7, "{}", site.at_work(&step));
        assert!(site.now.wall.since(since) < second(60));
    }
    assert_kept(&site);
}

#[test]
fn a_wave_waits_for_long_running_tasks_that_have_nowhere_to_go() {
    let mut site = site(1, 2);
    let web = Step {
        long_running: true,
        max_unavailable: Some(1),
        ..step(2, 8, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![web]));
    site.advance(second(3));
    ask(&mut site, 2, 1, second(10));
    assert_eq!(await_wave(&mut site, second(15)), None);
    assert_eq!(site.wave_state(WAVE), Some(WaveState::Running));
    site.cancel(&id("web"));
    assert!(await_wave(&mut site, second(20)).is_some());
    assert_kept(&site);
}

#[test]
fn long_running_tasks_without_a_limit_give_way_once_the_wave_is_late() {
    let mut site = site(1, 2);
    let web = Step {
        long_running: true,
        ..step(2, 8, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![web]));
    site.advance(second(3));
    ask(&mut site, 2, 1, second(10));
    assert!(await_wave(&mut site, second(30)).is_some());
    assert_kept(&site);
}

#[rstest]
fn a_successor_goes_on_with_a_wave(
    #[values(0, 500, 700, 710, 720, 730, 740, 1000, 1500, 3000, 4500)] moment: u64,
    #[values(None, Some(3))] late_s: Option<u64>,
) {
    let mut site = site(1, 4);
    ask(&mut site, 4, 1, second(60));
    site.machines.order_delay = late_s.map(second);
    site.advance(Duration::from_millis(moment));
    site.strike(SiteFault::Takeover);
    site.advance(second(1));
    site.machines.order_delay = None;
    assert!(await_wave(&mut site, second(60)).is_some());
    assert_eq!(site.machines.begun[&WAVE].len(), 4);
    assert_kept(&site);
}

#[test]
fn orders_that_are_carried_out_late_stay_counted() {
    let mut site = site(1, 4);
    site.machines.order_delay = Some(second(5));
    ask(&mut site, 4, 2, second(90));
    site.advance(second(12));
    site.machines.order_delay = None;
    assert!(await_wave(&mut site, second(90)).is_some());
    assert_kept(&site);
}

#[test]
fn nothing_begins_before_its_record_is_durable() {
    let mut site = site(1, 4);
    site.strike(SiteFault::StoreDown);
    ask(&mut site, 4, 1, second(60));
    site.advance(second(5));
    assert!(site.machines.begun.is_empty());
    site.strike(SiteFault::StoreUp);
    assert!(await_wave(&mut site, second(60)).is_some());
    assert_kept(&site);
}

#[test]
fn a_machine_that_leaves_for_good_is_not_waited_for() {
    let mut site = site(1, 4);
    ask(&mut site, 4, 1, second(60));
    site.advance(second(1));
    let leaving = site.workers.keys().last().expect("a worker").clone();
    site.workers.remove(&leaving);
    site.scheduler.worker_unlisted(&leaving);
    assert!(await_wave(&mut site, second(60)).is_some());
    assert_eq!(site.machines.begun[&WAVE].len(), 3);
    assert_kept(&site);
}
