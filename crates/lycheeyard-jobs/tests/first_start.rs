//! The stages of a job up to its first start, from which the people on call read why an urgent job began late.

mod support;

use lycheeyard_jobs::FirstStart;
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;
use support::{BULK, URGENT, gang, id, job, secs, site, step};

fn first_start_of(site: &mut SimulatedSite, name: &str) -> FirstStart {
    let mut first_starts = site.scheduler.take_first_starts().into_iter();
    let found = first_starts.find(|start| start.job == id(name));
    found.expect("the job has started")
}

/// Guards against a late start whose log line does not say that the job waited for runs to be stopped.
#[test]
fn counts_rounds_that_waited_for_victims() {
    let mut site = site(1, 1);
    site.submit(job(&site, "bulk", BULK, vec![step(8, 1, 20_000)]));
    site.advance(secs(1));
    let submitted = site.now.wall;
    site.submit(job(&site, "urgent", URGENT, vec![gang(1, 8, 1000)]));
    site.advance(secs(2));
    let start = first_start_of(&mut site, "urgent");
    assert_eq!(start.submitted_at, submitted);
    assert_eq!(start.stages.added_at, submitted);
    assert!(start.stages.rounds_reserved > 0, "{start:?}");
    assert!(start.stages.placed_at > Some(submitted), "{start:?}");
    assert!(
        start.stages.durable_at >= start.stages.placed_at,
        "{start:?}"
    );
}

/// Guards against a late start whose log line does not say that no runs could be stopped for the job.
#[test]
fn counts_rounds_without_victims() {
    let mut site = site(1, 1);
    site.submit(job(&site, "first", URGENT, vec![gang(1, 8, 2000)]));
    site.advance(secs(1));
    site.submit(job(&site, "second", URGENT, vec![gang(1, 8, 1000)]));
    site.advance(Duration::from_millis(1500));
    let start = first_start_of(&mut site, "second");
    assert!(start.stages.rounds_without_victims > 0, "{start:?}");
    assert_eq!(start.stages.rounds_reserved, 0, "{start:?}");
}
