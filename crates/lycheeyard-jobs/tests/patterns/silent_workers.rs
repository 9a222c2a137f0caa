//! Workers have fallen silent, and a report request to each has failed.
//!
//! Guards against new work that is placed on a worker between the first failed request and the time at which it counts as
//! unresponsive: its start order gets no answer, and the task waits until no late copy of it can be executed.

use crate::support::{URGENT, assert_no_violations, id, job, secs, site, step};
use std::time::Duration;

/// Later than a report request fails, and earlier than a worker without reports counts as unresponsive.
const SILENT_FOR: Duration = Duration::from_millis(2400);

#[test]
fn places_nothing_on_workers_that_left_a_report_request_unanswered() {
    let mut site = site(1, 4);
    let silent: Vec<_> = site.workers.keys().take(2).cloned().collect();
    for worker in &silent {
        let worker = site.workers.get_mut(worker).expect("worker exists");
        worker.faults.is_partitioned = true;
    }
    site.advance(SILENT_FOR);
    for number in 0..4 {
        let name = format!("urgent-{number}");
        site.submit(job(&site, &name, URGENT, vec![step(1, 4, 3000)]));
    }
    site.advance(Duration::from_millis(200));
    for number in 0..4 {
        let job = id(&format!("urgent-{number}"));
        assert!(site.begun_at.contains_key(&job), "{job} has not begun");
    }
    assert!(site.settle(secs(5)));
    assert_no_violations(&site);
}
