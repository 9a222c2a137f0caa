//! Workers that start again under their ids with higher and with lower numbers, as when the clock of a machine is set back, while the
//! list is late or names former incarnations.

mod support;

use lycheeyard_jobs::{IncarnationDecision, WorkerInfo, WorkerKey};
use lycheeyard_protocol::{Incarnation, WorkerId};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{BULK, assert_no_violations, job, secs, site, step};

const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a worker again under its id, with the given incarnation. The scheduler is not told.
fn restart_as(site: &mut SimulatedSite, id: &WorkerId, incarnation: u64) {
    let mut info = site.workers[id].info.clone();
    info.key.incarnation = Incarnation(incarnation);
    site.workers.insert(id.clone(), SimulatedWorker::new(info));
}

/// Lists an incarnation of a worker, whether it is there or not.
fn list_as(site: &mut SimulatedSite, id: &WorkerId, incarnation: u64) {
    let mut info = site.workers[id].info.clone();
    info.key.incarnation = Incarnation(incarnation);
    site.scheduler.worker_listed(info, site.now);
}

/// Tells the scheduler which workers answer its report requests as another incarnation than the one that it asks.
fn answer_requests(site: &mut SimulatedSite) {
    let asked = site.scheduler.workers_to_poll();
    let asked: Vec<WorkerKey> = asked.map(|info| info.key.clone()).collect();
    for key in asked {
        let present = site.workers[&key.id].info.key.incarnation;
        if present != key.incarnation {
            site.scheduler.worker_restarted(&key, present, site.now);
        }
    }
}

/// Advances the time, while the workers answer report requests.
fn advance(site: &mut SimulatedSite, time: Duration) {
    let until = site.now.boot.after(time);
    while !until.is_past(site.now.boot) {
        site.advance(REQUEST_INTERVAL);
        answer_requests(site);
    }
}

/// Advances the time until all jobs have ended, while the workers answer report requests.
fn settle(site: &mut SimulatedSite, limit: Duration) -> bool {
    let until = site.now.boot.after(limit);
    while !until.is_past(site.now.boot) {
        if site.settle(REQUEST_INTERVAL) {
            return true;
        }
        answer_requests(site);
    }
    false
}

/// Lets another instance take over, whose first list of workers names an incarnation of a worker that may not be there.
fn take_over_listing(site: &mut SimulatedSite, id: &WorkerId, incarnation: u64) {
    let present = site.workers[id].info.clone();
    let mut listed = present.clone();
    listed.key.incarnation = Incarnation(incarnation);
    set_info(site, id, listed);
    site.inject_fault(SiteFault::Takeover);
    set_info(site, id, present);
}

fn set_info(site: &mut SimulatedSite, id: &WorkerId, info: WorkerInfo) {
    if let Some(worker) = site.workers.get_mut(id) {
        worker.info = info;
    }
}

fn first_worker(site: &SimulatedSite) -> WorkerId {
    site.workers.keys().next().expect("worker exists").clone()
}

// Guards against runs that count as lost because an outdated listing names an incarnation whose entry was removed before the
// present one, which has a lower number, was listed.
#[rstest]
fn outdated_listing_of_removed_worker_ends_no_run(#[values(2, 9)] present: u64) {
    let mut site = site(1, 2);
    let id = first_worker(&site);
    restart_as(&mut site, &id, 5);
    list_as(&mut site, &id, 5);
    site.advance(secs(1));
    site.scheduler.worker_unlisted(&id);
    restart_as(&mut site, &id, present);
    list_as(&mut site, &id, present);
    site.advance(secs(2));
    site.submit(job(&site, "a", BULK, vec![step(10, 1, 9000)]));
    site.advance(secs(3));
    list_as(&mut site, &id, 5);
    assert!(site.settle(secs(30)));
    assert_no_violations(&site);
}

// Guards against a worker that gets no runs because it is listed with a lower number than before, whether the list or a report
// shows it first.
#[rstest]
fn worker_whose_clock_was_set_back_serves_again(
    #[values(0, 300)] listed_after_ms: u64,
    #[values(0, 300)] asked_after_ms: u64,
    #[values(3, 7)] present: u64,
) {
    let mut site = site(1, 1);
    let id = first_worker(&site);
    restart_as(&mut site, &id, 5);
    list_as(&mut site, &id, 5);
    advance(&mut site, secs(1));
    restart_as(&mut site, &id, present);
    if listed_after_ms <= asked_after_ms {
        list_as(&mut site, &id, present);
        advance(&mut site, Duration::from_millis(asked_after_ms));
    } else {
        advance(&mut site, Duration::from_millis(listed_after_ms));
        list_as(&mut site, &id, present);
    }
    site.submit(job(&site, "a", BULK, vec![step(1, 1, 1000)]));
    assert!(settle(&mut site, secs(4)));
    assert_no_violations(&site);
}

// Guards against a holder that has just taken over and ends runs, or uses a worker no more, by numbers: the records, the list and
// the reports may each name another incarnation.
#[rstest]
fn successor_decides_by_reports(
    #[values(3, 5, 9)] present: u64,
    #[values(3, 5, 9)] listed: u64,
    #[values(200, 2000)] corrected_after_ms: u64,
) {
    let mut site = site(1, 1);
    let id = first_worker(&site);
    restart_as(&mut site, &id, 5);
    list_as(&mut site, &id, 5);
    advance(&mut site, secs(1));
    site.submit(job(&site, "a", BULK, vec![step(4, 1, 5000)]));
    advance(&mut site, secs(2));
    if present != 5 {
        restart_as(&mut site, &id, present);
    }
    take_over_listing(&mut site, &id, listed);
    advance(&mut site, Duration::from_millis(corrected_after_ms));
    list_as(&mut site, &id, present);
    let submitted = site.now.wall;
    assert!(settle(&mut site, secs(20)));
    assert!(site.now.wall.since(submitted) < secs(8));
    assert_no_violations(&site);
}

// Guards against a crash that is counted for a task because an outdated listing names another incarnation of its worker: after three
// of them its job would be given up.
#[rstest]
fn listing_with_lower_number_counts_no_crash(#[values(3, 5)] listed: u64) {
    let mut site = site(1, 1);
    let id = first_worker(&site);
    restart_as(&mut site, &id, 5);
    list_as(&mut site, &id, 5);
    advance(&mut site, secs(1));
    let job = job(&site, "a", BULK, vec![step(1, 1, 9000)]);
    site.submit(job.clone());
    advance(&mut site, secs(1));
    for _ in 0..4 {
        take_over_listing(&mut site, &id, listed);
        advance(&mut site, secs(1));
    }
    let progress = site.progress(&job.id).expect("the job has a record");
    assert_eq!(progress.open[&0][0].tasks[0].worker_crashes, 0);
    assert!(settle(&mut site, secs(20)));
    assert_no_violations(&site);
}

// Guards against a worker that is asked at an address that it has left, and gets no runs, because its new entry has a lower number.
#[test]
fn worker_at_another_address_with_lower_number_serves_again() {
    let mut site = site(1, 1);
    let id = first_worker(&site);
    restart_as(&mut site, &id, 5);
    list_as(&mut site, &id, 5);
    advance(&mut site, secs(1));
    restart_as(&mut site, &id, 3);
    list_as(&mut site, &id, 3);
    site.submit(job(&site, "a", BULK, vec![step(1, 1, 1000)]));
    // Nobody answers at the former address; at the one that is listed the worker answers as expected.
    assert!(site.settle(secs(40)));
    assert_no_violations(&site);
}

// Guards against runs that count as lost because a late answer shows an incarnation that has ended.
#[test]
fn report_of_ended_incarnation_ends_no_run() {
    let mut site = site(1, 2);
    let id = first_worker(&site);
    let former = site.workers[&id].info.key.clone();
    restart_as(&mut site, &id, 5);
    advance(&mut site, secs(1));
    list_as(&mut site, &id, 5);
    advance(&mut site, secs(1));
    let present = site.workers[&id].info.key.clone();
    site.submit(job(&site, "a", BULK, vec![step(10, 1, 5000)]));
    advance(&mut site, secs(2));
    site.scheduler
        .worker_restarted(&present, former.incarnation, site.now);
    let changes = site.scheduler.take_incarnation_changes();
    let decisions: Vec<_> = changes.iter().map(|change| change.decision).collect();
    let expected = [
        IncarnationDecision::Reported,
        IncarnationDecision::ReportIgnored,
    ];
    assert_eq!(decisions, expected);
    assert!(settle(&mut site, secs(30)));
    assert_no_violations(&site);
}
