//! Short urgent jobs in quick succession on a site that is fully used by bulk work.
//!
//! Guards against urgent jobs that wait for bulk tasks to end, against preemption for every urgent job where headroom
//! would do, and against headroom on a site that is idle anyway.

use crate::support::{BULK, URGENT, assert_no_violations, gang, id, job, secs, site, step};
use lycheeyard_jobs::Step;
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;

/// Submits two urgent jobs per second for ten seconds, each with 8 accelerators for 1 s.
///
/// Returns how long each waited for its first start.
fn submit_burst(site: &mut SimulatedSite) -> Vec<Duration> {
    let mut submitted = Vec::new();
    for number in 0..20 {
        let name = format!("urgent-{number}");
        submitted.push((name.clone(), site.now.wall));
        site.submit(job(site, &name, URGENT, vec![gang(2, 4, 1000)]));
        site.advance(Duration::from_millis(500));
    }
    site.advance(secs(5));
    let wait = |(name, at): &(String, _)| site.begun_at[&id(name)].since(*at);
    submitted.iter().map(wait).collect()
}

fn submit_bulk_jobs(site: &mut SimulatedSite, checkpointing: bool) {
    for number in 0..30 {
        let bulk = Step {
            checkpointing,
            ..step(8, 1, 4000)
        };
        site.submit(job(site, &format!("bulk-{number}"), BULK, vec![bulk]));
    }
    site.advance(secs(1));
}

#[test]
fn starts_urgent_jobs_within_one_stop_and_one_round() {
    let mut site = site(2, 4);
    submit_bulk_jobs(&mut site, false);
    let waits = submit_burst(&mut site);
    let longest = waits.iter().max().copied().unwrap_or_default();
    assert!(longest < Duration::from_millis(700), "{waits:?}");
    assert_no_violations(&site);
}

#[test]
fn keeps_headroom_once_the_arrival_rate_is_known() {
    let mut site = site(2, 4);
    submit_bulk_jobs(&mut site, false);
    let waits = submit_burst(&mut site);
    let later = &waits[8..];
    let immediate = later
        .iter()
        .filter(|wait| **wait < Duration::from_millis(50));
    assert!(immediate.count() * 4 >= later.len() * 3, "{later:?}");
    assert_eq!(site.refused_starts, 0);
    assert_no_violations(&site);
}

#[test]
fn completes_bulk_work_beside_the_burst() {
    let mut site = site(2, 4);
    submit_bulk_jobs(&mut site, true);
    submit_burst(&mut site);
    assert!(site.settle(secs(40)));
    assert_no_violations(&site);
}

#[test]
fn keeps_no_headroom_on_an_idle_site() {
    let mut site = site(1, 2);
    for number in 0..4 {
        site.submit(job(
            &site,
            &format!("urgent-{number}"),
            URGENT,
            vec![gang(1, 8, 500)],
        ));
        site.advance(Duration::from_millis(300));
    }
    site.advance(secs(1));
    let submitted = site.now.wall;
    site.submit(job(&site, "bulk", BULK, vec![step(2, 8, 1000)]));
    site.advance(Duration::from_millis(100));
    assert!(site.begun_at[&id("bulk")].since(submitted) < Duration::from_millis(100));
    assert!(site.settle(secs(20)));
    assert_no_violations(&site);
}
