//! Waves of maintenance: each machine of a wave becomes unavailable once, and only a limited number at a time.
//!
//! The tests guard against waves that miss their due time, exceed their cap or stop work without need, also when
//! orders take effect late or the leaseholder changes.

mod support;

use lycheeyard_jobs::{Step, StepKey, Wave, WaveNumber, WaveState};
use lycheeyard_protocol::JobState;
use lycheeyard_standin::{SimulatedSite, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{BULK, ORDINARY, URGENT, assert_no_violations, gang, id, job, secs, site, step};

const WAVE: WaveNumber = WaveNumber(3);

fn request_wave(site: &mut SimulatedSite, machines: usize, cap: usize, within: Duration) {
    let ids = site.workers.keys().take(machines);
    let ids = ids.map(|id| id.as_str().parse().expect("machine name is valid"));
    site.request_wave(Wave {
        number: WAVE,
        machines: ids.collect(),
        due_at: site.now.wall.after(within),
        cap,
    });
}

/// Advances the site until the wave is completed and returns the time that it took; `None` if it takes longer than
/// `limit`.
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
fn idle_machines_begin_before_due_time(#[values(1, 2, 5)] cap: usize) {
    let mut site = site(2, 4);
    request_wave(&mut site, 6, cap, secs(40));
    site.advance(secs(1));
    assert_eq!(site.wave_state(WAVE), Some(WaveState::Running));
    assert!(await_wave(&mut site, secs(40)).is_some());
    assert_eq!(site.machines.begun[&WAVE].len(), 6);
    assert_no_violations(&site);
}

#[test]
fn runs_that_end_before_due_time_are_not_stopped() {
    let mut site = site(1, 4);
    site.submit(job(&site, "bulk", BULK, vec![step(4, 8, 4000)]));
    site.advance(secs(1));
    request_wave(&mut site, 4, 2, secs(60));
    assert!(await_wave(&mut site, secs(60)).is_some());
    assert!(site.wasted_core_s < f64::EPSILON, "{}", site.wasted_core_s);
    assert!(site.settle(secs(20)));
    assert_no_violations(&site);
}

#[test]
fn long_runs_are_stopped_so_that_wave_meets_due_time() {
    let mut site = site(1, 4);
    site.submit(job(&site, "bulk", BULK, vec![step(4, 8, 120_000)]));
    site.advance(secs(1));
    request_wave(&mut site, 4, 1, secs(40));
    let took = await_wave(&mut site, secs(60)).expect("wave completes within 60 s");
    assert!(took < secs(40), "{took:?}");
    assert_no_violations(&site);
}

#[test]
fn checkpointing_job_loses_little_work_to_wave() {
    let mut site = site(1, 2);
    let saving = Step {
        checkpointing: true,
        ..step(2, 8, 20_000)
    };
    let submitted = site.now.wall;
    site.submit(job(&site, "bulk", BULK, vec![saving]));
    site.advance(secs(10));
    request_wave(&mut site, 2, 1, secs(14));
    assert!(site.settle(secs(60)));
    let took = site.ended_at[&id("bulk")].since(submitted);
    assert!(took < secs(32), "{took:?}");
    assert_no_violations(&site);
}

#[test]
fn urgent_jobs_run_without_delay_during_wave() {
    let mut site = site(2, 4);
    request_wave(&mut site, 8, 2, secs(60));
    for number in 0..40 {
        let name = format!("urgent-{number}");
        let submitted = site.now.wall;
        site.submit(job(&site, &name, URGENT, vec![gang(2, 8, 400)]));
        site.advance(secs(1));
        assert_eq!(site.state(&id(&name)), JobState::Succeeded, "{name}");
        assert!(site.ended_at[&id(&name)].since(submitted) < secs(1));
    }
    assert!(await_wave(&mut site, secs(60)).is_some());
    assert_no_violations(&site);
}

#[test]
fn long_running_tasks_move_within_max_unavailable() {
    let mut site = site(1, 4);
    let web = Step {
        long_running: true,
        max_unavailable: Some(1),
        ..step(8, 2, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![web]));
    site.advance(secs(3));
    request_wave(&mut site, 4, 2, secs(60));
    let step = StepKey {
        job: id("web"),
        occurrence: 0,
        step: 0,
    };
    let since = site.now.wall;
    while site.wave_state(WAVE) != Some(WaveState::Completed) {
        site.advance(Duration::from_millis(20));
        assert!(site.ready_tasks(&step) >= 7, "{}", site.ready_tasks(&step));
        assert!(site.now.wall.since(since) < secs(60));
    }
    assert_no_violations(&site);
}

#[test]
fn wave_waits_for_limited_long_running_tasks_without_room_elsewhere() {
    let mut site = site(1, 2);
    let web = Step {
        long_running: true,
        max_unavailable: Some(1),
        ..step(2, 8, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![web]));
    site.advance(secs(3));
    request_wave(&mut site, 2, 1, secs(10));
    assert_eq!(await_wave(&mut site, secs(15)), None);
    assert_eq!(site.wave_state(WAVE), Some(WaveState::Running));
    site.cancel(&id("web"));
    assert!(await_wave(&mut site, secs(20)).is_some());
    assert_no_violations(&site);
}

#[test]
fn unlimited_long_running_tasks_are_stopped_once_wave_is_late() {
    let mut site = site(1, 2);
    let web = Step {
        long_running: true,
        ..step(2, 8, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![web]));
    site.advance(secs(3));
    request_wave(&mut site, 2, 1, secs(10));
    assert!(await_wave(&mut site, secs(30)).is_some());
    assert_no_violations(&site);
}

#[rstest]
fn new_leaseholder_continues_wave(
    #[values(0, 500, 700, 710, 720, 730, 740, 1000, 1500, 3000, 4500)] takeover_ms: u64,
    #[values(None, Some(3))] order_delay_s: Option<u64>,
) {
    let mut site = site(1, 4);
    request_wave(&mut site, 4, 1, secs(60));
    site.machines.order_delay = order_delay_s.map(secs);
    site.advance(Duration::from_millis(takeover_ms));
    site.inject_fault(SiteFault::Takeover);
    site.advance(secs(1));
    site.machines.order_delay = None;
    assert!(await_wave(&mut site, secs(60)).is_some());
    assert_eq!(site.machines.begun[&WAVE].len(), 4);
    assert_no_violations(&site);
}

#[test]
fn orders_executed_late_stay_counted_against_cap() {
    let mut site = site(1, 4);
    site.machines.order_delay = Some(secs(5));
    request_wave(&mut site, 4, 2, secs(90));
    site.advance(secs(12));
    site.machines.order_delay = None;
    assert!(await_wave(&mut site, secs(90)).is_some());
    assert_no_violations(&site);
}

#[test]
fn no_machine_begins_before_its_record_is_durable() {
    let mut site = site(1, 4);
    site.inject_fault(SiteFault::StoreDown);
    request_wave(&mut site, 4, 1, secs(60));
    site.advance(secs(5));
    assert!(site.machines.begun.is_empty());
    site.inject_fault(SiteFault::StoreUp);
    assert!(await_wave(&mut site, secs(60)).is_some());
    assert_no_violations(&site);
}

#[test]
fn wave_does_not_wait_for_removed_machine() {
    let mut site = site(1, 4);
    request_wave(&mut site, 4, 1, secs(60));
    site.advance(secs(1));
    let leaving = site
        .workers
        .keys()
        .last()
        .expect("site has workers")
        .clone();
    site.workers.remove(&leaving);
    site.scheduler.worker_unlisted(&leaving);
    assert!(await_wave(&mut site, secs(60)).is_some());
    assert_eq!(site.machines.begun[&WAVE].len(), 3);
    assert_no_violations(&site);
}
