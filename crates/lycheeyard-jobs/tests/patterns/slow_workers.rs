//! Some workers take several times as long as others for the same work.
//!
//! Guards against urgent work on workers that were measured to be slow while fast ones have capacity.

use crate::support::{BULK, URGENT, assert_no_violations, id, job, secs, site, step};
use lycheeyard_jobs::Step;
use std::time::Duration;

#[test]
fn places_urgent_work_on_fast_workers() {
    let mut site = site(2, 4);
    let slow: Vec<_> = site.workers.keys().take(3).cloned().collect();
    for worker in &slow {
        let worker = site.workers.get_mut(worker).expect("worker exists");
        worker.faults.slowdown = 4.0;
    }
    for number in 0..3 {
        let name = format!("bulk-{number}");
        let spread = Step {
            spread_limit: Some(1),
            ..step(8, 1, 6000)
        };
        site.submit(job(&site, &name, BULK, vec![spread]));
    }
    // By then the tasks of each step have progressed far enough to be compared.
    site.advance(secs(5));
    for number in 0..6 {
        let name = format!("urgent-{number}");
        site.submit(job(&site, &name, URGENT, vec![step(1, 2, 400)]));
        site.advance(Duration::from_millis(100));
        let on_slow = slow.iter().any(|worker| {
            let mut tasks = site.workers[worker].tasks();
            tasks.any(|task| task.step.job == id(&name))
        });
        assert!(!on_slow, "{name} is on a slow worker");
        site.advance(Duration::from_millis(500));
    }
    assert!(site.settle(secs(120)));
    assert_no_violations(&site);
}
