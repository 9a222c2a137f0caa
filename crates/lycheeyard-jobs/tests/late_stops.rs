//! Workers that carry stop orders out late: the room of the runs that they were to stop cannot be relied upon.
//!
//! Guards against room that is held for nothing, and against stops in vain.

mod support;

use lycheeyard_jobs::Job;
use lycheeyard_protocol::WorkerId;
use lycheeyard_standin::SimulatedSite;
use rstest::rstest;
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, assert_no_violations, gang, ids, job, organisation,
    policy, secs, site, site_with, step,
};

/// The time within which an urgent job inside its guarantee has to begin, on workers that need 900 ms for a stop.
const RECLAIM_LIMIT: Duration = Duration::from_millis(3400);
/// The time within which a step has to begin beside room for it twice over, while less than half of the capacity is in use.
const AMPLE_ROOM_LIMIT: Duration = Duration::from_secs(3);
/// Longer than any limit, so that nothing ends by itself.
const LONG_MS: u64 = 120_000;

/// Lets a worker carry orders out later than any limit.
fn delay_orders_of(site: &mut SimulatedSite, worker: &WorkerId) {
    let worker = site.workers.get_mut(worker).expect("worker exists");
    worker.faults.order_delay = Some(secs(60));
}

/// The time from the submission of a job to its start; `None` if it does not begin within `limit`.
fn begins_within(site: &mut SimulatedSite, job: Job, limit: Duration) -> Option<Duration> {
    let (submitted_at, job_id) = (site.now.wall, job.id.clone());
    site.submit(job);
    site.advance(limit);
    let begun_at = site.begun_at.get(&job_id);
    begun_at.map(|at| at.since(submitted_at))
}

// Guards against a guaranteed step that waits for one victim for longer than it may wait for its room.
// Guards against a step that relies on a worker which does not stop its runs, or asks it to stop one more each time.
#[rstest]
fn guaranteed_step_takes_other_room_when_a_victim_does_not_end(
    #[values(1, ACCELERATORS)] accelerators: u32,
    #[values(0, 1, 2, 3)] slow_worker: usize,
) {
    let mut policy = policy();
    let guarantee = (organisation("owner"), ACCELERATORS);
    policy.guarantees.extend([guarantee]);
    let mut site = site_with(1, 4, policy);
    let tasks = 4 * ACCELERATORS;
    site.submit(job(&site, "bulk", BULK, vec![step(tasks, 1, LONG_MS)]));
    site.advance(secs(1));
    let slow = ids(&site).remove(slow_worker);
    delay_orders_of(&mut site, &slow);
    let owned = Job {
        organisation: organisation("owner"),
        ..job(&site, "owner", URGENT, vec![gang(1, accelerators, 1000)])
    };
    let begun = begins_within(&mut site, owned, secs(10));
    assert!(
        begun.is_some_and(|begun| begun < RECLAIM_LIMIT),
        "{begun:?}"
    );
    assert_no_violations(&site);
}

/// A site of four workers on one of which a task runs that does not end when it is stopped for an urgent gang.
fn site_with_vain_stop() -> SimulatedSite {
    let mut site = site(1, 4);
    let victim = step(1, ACCELERATORS, LONG_MS);
    site.submit(job(&site, "victim", BULK, vec![victim]));
    site.advance(secs(1));
    let busy = ids(&site).into_iter();
    let mut busy = busy.filter(|id| site.workers[id].tasks().next().is_some());
    let slow = busy.next().expect("victim runs");
    delay_orders_of(&mut site, &slow);
    site.submit(job(
        &site,
        "urgent",
        URGENT,
        vec![gang(4, ACCELERATORS, 30_000)],
    ));
    site.advance(secs(1));
    site
}

// Guards against room that is reserved or drained for a step whose victim does not end, beside which others wait too long.
#[test]
fn step_starts_in_time_beside_room_that_cannot_be_complete() {
    let mut site = site_with_vain_stop();
    let waits = job(&site, "waits", ORDINARY, vec![step(1, 1, 1000)]);
    let begun = begins_within(&mut site, waits, secs(14));
    assert!(
        begun.is_some_and(|begun| begun < AMPLE_ROOM_LIMIT),
        "{begun:?}"
    );
    assert_no_violations(&site);
}

// Guards against a step that loses its room to others when its victim ends late, and stops them again and again.
#[rstest]
fn step_starts_soon_after_its_late_victim_has_ended(
    #[values(2000, 3000, 6000, 12_000)] order_delay_ms: u64,
    #[values(None, Some("owner"))] owner: Option<&str>,
) {
    let mut policy = policy();
    let guarantee = (organisation("owner"), 4 * ACCELERATORS);
    policy.guarantees.extend([guarantee]);
    let mut site = site_with(1, 4, policy);
    let tasks = 8 * ACCELERATORS;
    site.submit(job(&site, "bulk", BULK, vec![step(tasks, 1, LONG_MS)]));
    site.advance(secs(1));
    let slow = ids(&site).remove(0);
    let order_delay = Duration::from_millis(order_delay_ms);
    let worker = site.workers.get_mut(&slow).expect("worker exists");
    worker.faults.order_delay = Some(order_delay);
    let wide = gang(4, ACCELERATORS, LONG_MS);
    let urgent = Job {
        organisation: organisation(owner.unwrap_or("other")),
        ..job(&site, "urgent", URGENT, vec![wide])
    };
    let begun = begins_within(&mut site, urgent, secs(60));
    let limit = order_delay + RECLAIM_LIMIT;
    assert!(begun.is_some_and(|begun| begun < limit), "{begun:?}");
    assert_no_violations(&site);
}
