//! Many records that wait to be written, after an outage of the store or because it is slow, and a job behind them.

use crate::support::{
    BULK, ORDINARY, URGENT, assert_no_violations, gang, id, job, organisation, policy, secs,
    site_with, step,
};
use lycheeyard_jobs::Step;
use lycheeyard_standin::{SimulatedSite, SiteFault};
use std::time::Duration;

/// The time within which an urgent job inside its guarantee has to begin.
const RECLAIM_LIMIT: Duration = Duration::from_millis(2700);
const BULK_JOBS: usize = 512;
/// How long a slow store takes for a record.
const SLOW_RECORD: Duration = Duration::from_millis(10);

/// A site on which the organisation `owner` is guaranteed 64 accelerators.
fn site_with_guarantee(racks: usize, per_rack: usize) -> SimulatedSite {
    let mut policy = policy();
    policy.guarantees.insert(organisation("owner"), 64);
    site_with(racks, per_rack, policy)
}

/// Submits an urgent job of `owner`, and checks that it begins within the limit and that all jobs end.
fn assert_guaranteed_job_begins_in_time(site: &mut SimulatedSite, step: Step) {
    let mut urgent = job(site, "urgent", URGENT, vec![step]);
    urgent.organisation = organisation("owner");
    let submitted = site.now.wall;
    site.submit(urgent);
    site.advance(secs(8));
    let begun = site.begun_at[&id("urgent")].since(submitted);
    assert!(begun < RECLAIM_LIMIT, "{begun:?}");
    assert!(site.settle(secs(60)));
    assert_no_violations(site);
}

/// Guards against an urgent job inside its guarantee that begins late because its record waits for all the records
/// that changed during an outage.
#[test]
fn starts_guaranteed_job_before_backlog_is_written() {
    let mut site = site_with_guarantee(8, 8);
    site.record_time = Duration::from_millis(8);
    for number in 0..2 * BULK_JOBS {
        let name = format!("bulk-{number}");
        site.submit(job(&site, &name, BULK, vec![step(1, 1, 2000)]));
    }
    site.advance(secs(6));
    site.inject_fault(SiteFault::StoreDown);
    site.advance(secs(4));
    site.inject_fault(SiteFault::StoreUp);
    site.advance(Duration::from_millis(50));
    assert_guaranteed_job_begins_in_time(&mut site, gang(4, 2, 1000));
}

/// Guards against an urgent job inside its guarantee that begins late because its record waits for those of urgent jobs that
/// no guarantee covers.
#[test]
fn starts_guaranteed_job_before_records_of_other_urgent_jobs_are_written() {
    let mut site = site_with_guarantee(8, 8);
    site.record_time = SLOW_RECORD;
    for number in 0..400 {
        let name = format!("other-{number}");
        site.submit(job(&site, &name, URGENT, vec![step(1, 1, 2000)]));
    }
    site.advance(Duration::from_millis(10));
    assert_guaranteed_job_begins_in_time(&mut site, gang(4, 2, 1000));
}

/// Guards against an ordinary job that does not begin while urgent jobs arrive faster than their records are written.
#[test]
fn starts_ordinary_job_during_flood_of_urgent_jobs() {
    let mut site = site_with(8, 8, policy());
    site.record_time = SLOW_RECORD;
    for number in 0..100 {
        if number == 10 {
            let ordinary = job(&site, "ordinary", ORDINARY, vec![step(1, 1, 1000)]);
            site.submit(ordinary);
        }
        for urgent in 0..12 {
            let name = format!("urgent-{number}-{urgent}");
            site.submit(job(&site, &name, URGENT, vec![step(1, 1, 100)]));
        }
        site.advance(Duration::from_millis(100));
    }
    assert!(site.begun_at.contains_key(&id("ordinary")));
    assert!(site.settle(secs(120)));
    assert_no_violations(&site);
}

/// Guards against an urgent job inside its guarantee that waits until ordinary runs on all workers are recorded and started,
/// only to be stopped for it.
#[test]
fn starts_guaranteed_job_instead_of_runs_that_are_not_recorded_yet() {
    let mut site = site_with_guarantee(1, 8);
    site.record_time = Duration::from_millis(100);
    for number in 0..64 {
        let name = format!("bulk-{number}");
        site.submit(job(&site, &name, BULK, vec![step(1, 1, 2000)]));
    }
    site.advance(Duration::from_millis(10));
    assert_guaranteed_job_begins_in_time(&mut site, gang(4, 8, 1000));
}
