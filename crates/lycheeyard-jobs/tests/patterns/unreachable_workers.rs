//! Workers have gone down without notice, and the scheduler has not missed their reports yet.
//!
//! Guards against urgent work that is placed on the same unreachable worker again and again while others have room.

use crate::support::{URGENT, assert_no_violations, id, job, secs, site, step};
use std::time::Duration;

#[test]
fn places_urgent_work_elsewhere_after_one_attempt() {
    let mut site = site(1, 4);
    site.crashing_tasks.downtime = secs(20);
    let down: Vec<_> = site.workers.keys().take(2).cloned().collect();
    for worker in &down {
        site.crash_worker(worker);
    }
    for number in 0..4 {
        let name = format!("urgent-{number}");
        site.submit(job(&site, &name, URGENT, vec![step(1, 4, 3000)]));
    }
    site.advance(Duration::from_millis(200));
    for number in 0..4 {
        let job = id(&format!("urgent-{number}"));
        assert!(site.begun_at.contains_key(&job), "{job} has not begun");
    }
    assert!(site.settle(secs(30)));
    assert_no_violations(&site);
}
