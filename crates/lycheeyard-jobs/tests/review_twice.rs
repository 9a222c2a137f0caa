//! Findings of the review of incident TWICE: incarnations whose numbers go down, as when the clock of a machine is set back.

mod support;

use lycheeyard_protocol::Incarnation;
use std::time::Duration;
use support::{
    BULK, assert_no_violations, first_worker, job, list_workers, restart_as, secs, site, step,
};

// Guards against a worker that receives no runs any more, since its listing came before the report that shows the lower number.
#[test]
fn worker_with_lower_incarnation_is_used_again() {
    let mut site = site(1, 1);
    let id = first_worker(&site);
    restart_as(&mut site, &id, 5);
    list_workers(&mut site);
    site.advance(secs(1));
    let former = site.workers[&id].info.key.clone();
    restart_as(&mut site, &id, 3);
    list_workers(&mut site);
    site.scheduler
        .worker_restarted(&former, Incarnation(3), site.now);
    site.submit(job(&site, "a", BULK, vec![step(1, 1, 1000)]));
    assert!(site.settle(secs(30)));
    assert_no_violations(&site);
}

// Guards against runs that count as lost because an outdated entry of the list names the incarnation before, whose number is higher.
#[test]
fn outdated_listing_ends_no_run_that_the_present_incarnation_reports() {
    let mut site = site(1, 2);
    let id = first_worker(&site);
    restart_as(&mut site, &id, 5);
    list_workers(&mut site);
    site.advance(secs(1));
    let outdated = site.workers[&id].info.clone();
    restart_as(&mut site, &id, 3);
    site.scheduler
        .worker_restarted(&outdated.key, Incarnation(3), site.now);
    list_workers(&mut site);
    site.advance(secs(2));
    site.submit(job(&site, "a", BULK, vec![step(10, 1, 9000)]));
    site.advance(secs(3));
    site.scheduler.worker_listed(outdated.clone(), site.now);
    site.advance(Duration::from_millis(500));
    // The next report shows the present incarnation.
    site.scheduler
        .worker_restarted(&outdated.key, Incarnation(3), site.now);
    list_workers(&mut site);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}
