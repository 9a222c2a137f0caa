//! Many small tasks of the lowest priority, and gangs that need whole workers.
//!
//! Guards against starvation of a gang because small tasks take each accelerator as soon as it is free, and against
//! idle workers where short tasks would end before the gang can start.

use crate::support::{BULK, ORDINARY, assert_no_violations, gang, id, job, secs, site, step};
use std::time::Duration;

#[test]
fn does_not_starve_a_gang_that_needs_whole_workers() {
    let mut site = site(2, 4);
    let mut submitted_jobs = 0;
    let mut submit_bulk = |site: &mut lycheeyard_standin::SimulatedSite| {
        let name = format!("bulk-{submitted_jobs}");
        let run_ms = 2000 + submitted_jobs * 700 % 2500;
        site.submit(job(site, &name, BULK, vec![step(5, 1, run_ms)]));
        submitted_jobs += 1;
    };
    for _ in 0..30 {
        submit_bulk(&mut site);
    }
    site.advance(secs(1));
    let submitted = site.now.wall;
    site.submit(job(&site, "grid", ORDINARY, vec![gang(4, 8, 3000)]));
    for _ in 0..60 {
        submit_bulk(&mut site);
        site.advance(Duration::from_millis(200));
    }
    let begun = site.begun_at[&id("grid")].since(submitted);
    assert!(begun < Duration::from_millis(4500), "{begun:?}");
    assert!(site.wasted_core_s < f64::EPSILON);
    assert_no_violations(&site);
}

#[test]
fn backfills_workers_kept_for_a_gang_with_short_work() {
    let mut site = site(1, 2);
    site.submit(job(&site, "long", BULK, vec![step(1, 4, 8000)]));
    site.advance(secs(1));
    site.submit(job(&site, "grid", ORDINARY, vec![gang(2, 8, 2000)]));
    site.advance(Duration::from_millis(500));
    let submitted = site.now.wall;
    site.submit(job(&site, "short", BULK, vec![step(4, 2, 1000)]));
    site.advance(secs(1));
    assert!(site.begun_at[&id("short")].since(submitted) < secs(1));
    assert!(site.settle(secs(40)));
    assert_no_violations(&site);
}
