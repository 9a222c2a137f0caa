//! Long-running tasks and guarantees.
//!
//! Guards against a guaranteed step that never begins since long-running tasks of others, which do not end by themselves, have its room,
//! and against steps of which more tasks are stopped for it than they allow.

mod support;

use lycheeyard_jobs::{Job, Placement, SchedulingPolicy, Step, StepKey};
use lycheeyard_protocol::JobState;
use lycheeyard_standin::SimulatedSite;
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};
use support::{
    BULK, ORDINARY, URGENT, assert_no_violations, gang, id, ids, job, organisation, policy, secs,
    site_with, step,
};

const WORKERS: usize = 8;
/// The accelerators that each of two organisations is guaranteed, a quarter of all.
const GUARANTEE: u32 = 16;
/// The time within which a guaranteed job has to begin, on workers that need 900 ms for a stop.
const RECLAIM_LIMIT: Duration = Duration::from_millis(3400);

fn guaranteed_policy() -> SchedulingPolicy {
    let organisations = ["north", "south"];
    SchedulingPolicy {
        guarantees: organisations
            .map(|name| (organisation(name), GUARANTEE))
            .into(),
        ..policy()
    }
}

fn guaranteed_site() -> SimulatedSite {
    site_with(1, WORKERS, guaranteed_policy())
}

fn lasting_step(tasks: u32, accelerators: u32, max_unavailable: Option<u32>) -> Step {
    Step {
        long_running: true,
        max_unavailable,
        ..step(tasks, accelerators, 500)
    }
}

fn submit(site: &mut SimulatedSite, name: &str, queue: &str, of: &str, step: Step) {
    let job = Job {
        organisation: organisation(of),
        ..job(site, name, queue, vec![step])
    };
    site.submit(job);
}

fn present_tasks(site: &SimulatedSite, name: &str) -> u32 {
    let step = StepKey {
        job: id(name),
        occurrence: 0,
        step: 0,
    };
    u32::try_from(site.ready_tasks(&step)).expect("count fits u32")
}

/// The tasks of a job of one step whose runs have begun.
fn begun_tasks(site: &SimulatedSite, name: &str) -> u32 {
    let Some(progress) = site.progress(&id(name)) else {
        return 0;
    };
    let tasks = &progress.open[&0][0].tasks;
    let begun = tasks.iter().filter(|task| task.has_begun).count();
    u32::try_from(begun).expect("count fits u32")
}

/// Fills the site with long-running jobs of `south`, of four tasks with one accelerator each.
fn fill(site: &mut SimulatedSite, queue: &str, max_unavailable: Option<u32>) {
    for number in 0..16 {
        let lasting = lasting_step(4, 1, max_unavailable);
        submit(site, &format!("lasting-{number}"), queue, "south", lasting);
    }
    site.advance(secs(6));
}

/// Guards against a guaranteed job that waits for long-running tasks of another organisation, of a lower priority or of its own, which
/// have borrowed all accelerators.
#[rstest]
fn guaranteed_job_begins_although_long_running_tasks_have_borrowed_its_room(
    #[values(ORDINARY, URGENT)] queue: &str,
    #[values(None, Some(1), Some(4))] max_unavailable: Option<u32>,
    #[values(
        step(4, 2, 60_000),
        gang(4, 2, 60_000),
        step(2, 8, 60_000),
        step(16, 1, 60_000)
    )]
    guaranteed: Step,
) {
    let mut site = guaranteed_site();
    fill(&mut site, queue, max_unavailable);
    let tasks = guaranteed.tasks;
    submit(&mut site, "guaranteed", URGENT, "north", guaranteed);
    site.advance(RECLAIM_LIMIT);
    assert_eq!(begun_tasks(&site, "guaranteed"), tasks);
    if let Some(max_unavailable) = max_unavailable {
        for number in 0..16 {
            let present = present_tasks(&site, &format!("lasting-{number}"));
            // Those that have never begun wait for room.
            assert!(
                present == 0 || present >= 4 - max_unavailable,
                "{number}: {present}"
            );
        }
    }
    assert_no_violations(&site);
}

/// Guards against a guaranteed job that waits for whole workers, since long-running tasks within the guarantee of another organisation
/// are spread over all of them.
#[rstest]
fn guaranteed_job_finds_whole_workers_beside_guaranteed_long_running_tasks(
    #[values(None, Some(1))] max_unavailable: Option<u32>,
) {
    let mut site = guaranteed_site();
    let lasting = lasting_step(8, 1, max_unavailable);
    submit(&mut site, "lasting", URGENT, "south", lasting);
    site.advance(secs(6));
    assert_eq!(present_tasks(&site, "lasting"), 8);
    submit(&mut site, "guaranteed", URGENT, "north", step(2, 8, 60_000));
    site.advance(RECLAIM_LIMIT);
    assert_eq!(begun_tasks(&site, "guaranteed"), 2);
    assert_eq!(present_tasks(&site, "lasting"), 8);
}

/// Guards against long-running tasks that are stopped for work that no guarantee covers.
#[rstest]
fn only_guaranteed_steps_stop_long_running_tasks(#[values(ORDINARY, URGENT)] queue: &str) {
    let mut site = guaranteed_site();
    fill(&mut site, ORDINARY, None);
    submit(&mut site, "other", queue, "west", step(4, 2, 60_000));
    site.advance(secs(10));
    assert_eq!(site.state(&id("other")), JobState::Queued);
    let present = (0..16).map(|number| present_tasks(&site, &format!("lasting-{number}")));
    assert_eq!(present.sum::<u32>(), 64);
}

/// Guards against a step of which more tasks are stopped for a guaranteed one than it allows: it has got its room before the guarantee.
#[rstest]
#[case::enough(2, true)]
#[case::too_many(3, false)]
fn no_more_tasks_are_stopped_than_their_step_allows(#[case] wanted: u32, #[case] begins: bool) {
    let mut site = site_with(1, WORKERS, policy());
    submit(
        &mut site,
        "lasting",
        ORDINARY,
        "south",
        lasting_step(8, 8, Some(2)),
    );
    site.advance(secs(6));
    assert_eq!(present_tasks(&site, "lasting"), 8);
    let mut later = guaranteed_policy();
    later.guarantees.insert(organisation("north"), 3 * 8);
    site.scheduler.set_policy(later);
    submit(
        &mut site,
        "guaranteed",
        URGENT,
        "north",
        step(wanted, 8, 60_000),
    );
    for _ in 0..100 {
        site.advance(Duration::from_millis(100));
        assert!(present_tasks(&site, "lasting") >= 6);
    }
    assert_eq!(begun_tasks(&site, "guaranteed") == wanted, begins);
}

/// Guards against best-effort tasks that last and of which more are stopped at a time than their step allows.
#[test]
fn no_more_best_effort_tasks_are_stopped_than_their_step_allows() {
    let mut site = site_with(1, 1, guaranteed_policy());
    let lasting = Step {
        best_effort: true,
        ..lasting_step(8, 1, Some(1))
    };
    submit(&mut site, "lasting", ORDINARY, "south", lasting);
    site.advance(secs(6));
    let before = present_tasks(&site, "lasting");
    submit(&mut site, "urgent", URGENT, "north", step(4, 2, 5000));
    for _ in 0..60 {
        site.advance(Duration::from_millis(100));
        assert!(present_tasks(&site, "lasting") + 1 >= before);
    }
}

/// Guards against long-running tasks that share fewer workers than they need, so that the loss of one ends more of them: those that may be
/// stopped for guaranteed steps are spread over all workers.
#[test]
fn tasks_that_may_be_stopped_are_spread_over_all_workers() {
    let mut site = guaranteed_site();
    submit(
        &mut site,
        "lasting",
        ORDINARY,
        "south",
        lasting_step(8, 1, None),
    );
    site.advance(secs(6));
    let progress = site.progress(&id("lasting")).expect("job is known");
    let placements = progress.open[&0][0].tasks.iter();
    let placements = placements.filter_map(|task| task.placement.as_ref());
    let workers: BTreeSet<_> = placements.map(Placement::worker).collect();
    assert_eq!(workers.len(), WORKERS);
}

/// Guards against long-running tasks that cannot all be stopped on workers in quarantine, which are needed for guaranteed steps when it
/// ends.
#[test]
fn long_running_tasks_that_stay_use_no_worker_in_quarantine() {
    let mut site = guaranteed_site();
    let ids = ids(&site);
    let bad = &ids[..WORKERS / 2];
    for id in bad {
        let worker = site.workers.get_mut(id).expect("worker exists");
        worker.faults.fails = true;
    }
    let failing = step(8, 8, 100);
    for number in 0..3 {
        let name = format!("fails-{number}");
        submit(&mut site, &name, ORDINARY, "south", failing.clone());
    }
    site.advance(secs(2));
    let lasting = lasting_step(16, 1, Some(1));
    submit(&mut site, "lasting", ORDINARY, "south", lasting);
    site.advance(secs(3));
    assert!(present_tasks(&site, "lasting") > 0);
    for id in bad {
        let worker = &site.workers[id];
        let mut tasks = worker.tasks();
        assert!(
            tasks.all(|task| task.step.job.to_string() != "lasting"),
            "{id}"
        );
    }
}

// Guards against a search for runs to stop that is given up, since more long-running tasks that may not be stopped are cheaper than the runs
// that may be.
#[rstest]
fn guaranteed_job_begins_beside_many_tasks_that_may_not_be_stopped(
    #[values(8, 36)] lasting_tasks: u32,
    #[values(0, 1)] max_unavailable: u32,
) {
    let mut policy = policy();
    let guarantee = (organisation("north"), lasting_tasks * 8);
    policy.guarantees.extend([guarantee]);
    let mut site = site_with(1, 2 * lasting_tasks as usize, policy);
    let lasting = lasting_step(lasting_tasks, 8, Some(max_unavailable));
    submit(&mut site, "lasting", BULK, "south", lasting);
    site.advance(secs(2));
    let work = step(lasting_tasks * 8, 1, 60_000);
    submit(&mut site, "work", ORDINARY, "south", work);
    site.advance(secs(2));
    submit(&mut site, "urgent", URGENT, "north", gang(2, 8, 2000));
    site.advance(RECLAIM_LIMIT);
    assert!(site.begun_at.contains_key(&id("urgent")));
    assert_no_violations(&site);
}
