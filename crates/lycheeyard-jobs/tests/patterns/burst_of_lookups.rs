//! Short urgent jobs in quick succession on a site that ordinary work fills.

use crate::support::{BULK, URGENT, assert_no_violations, gang, id, job, second, site, step};
use lycheeyard_jobs::Step;
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;

/// Two urgent jobs a second for ten seconds, each with 8 accelerators for 1 s.
fn burst(site: &mut SimulatedSite) -> Vec<Duration> {
    let mut submitted = Vec::new();
    for number in 0..20 {
        let name = format!("urgent-{number}");
        submitted.push((name.clone(), site.now.wall));
        site.submit(job(site, &name, URGENT, vec![gang(2, 4, 1000)]));
        site.advance(Duration::from_millis(500));
    }
    site.advance(second(5));
    let begun = |(name, at): &(String, _)| site.begun_at[&id(name)].since(*at);
    submitted.iter().map(begun).collect()
}

fn filled(site: &mut SimulatedSite, checkpointing: bool) {
    for number in 0..30 {
        let filler = Step {
            checkpointing,
            ..step(8, 1, 4000)
        };
        site.submit(job(site, &format!("bulk-{number}"), BULK, vec![filler]));
    }
    site.advance(second(1));
}

#[test]
fn urgent_jobs_start_within_a_stop_and_a_round() {
    let mut site = site(2, 4);
    filled(&mut site, false);
    let waits = burst(&mut site);
    let longest = waits.iter().max().copied().unwrap_or_default();
    assert!(longest < Duration::from_millis(700), "{waits:?}");
    assert_no_violations(&site);
}

#[test]
fn once_the_burst_is_known_room_is_left_and_little_is_thrown_away() {
    let mut site = site(2, 4);
    filled(&mut site, false);
    let waits = burst(&mut site);
    let later = &waits[8..];
    let at_once = later
        .iter()
        .filter(|wait| **wait < Duration::from_millis(50));
    assert!(at_once.count() * 4 >= later.len() * 3, "{later:?}");
    assert_eq!(site.refused_starts, 0);
    assert_no_violations(&site);
}

#[test]
fn ordinary_work_goes_on_beside_the_burst() {
    let mut site = site(2, 4);
    filled(&mut site, true);
    burst(&mut site);
    assert!(site.settle(second(40)));
    assert_no_violations(&site);
}

#[test]
fn an_idle_site_keeps_nothing_free() {
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
    site.advance(second(1));
    let submitted = site.now.wall;
    site.submit(job(&site, "bulk", BULK, vec![step(2, 8, 1000)]));
    site.advance(Duration::from_millis(100));
    assert!(site.begun_at[&id("bulk")].since(submitted) < Duration::from_millis(100));
    assert!(site.settle(second(20)));
    assert_no_violations(&site);
}
