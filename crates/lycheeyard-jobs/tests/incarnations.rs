//! Workers that start again under their ids with higher and with lower numbers, as when the clock of a machine is set back, while the
//! list is late or names former incarnations.

mod support;

use lycheeyard_protocol::{Incarnation, WorkerId};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker};
use rstest::rstest;
use support::{BULK, assert_no_violations, job, secs, site, step};

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
