//! A holder of the scheduling lease whose processor is slow: parts of its scheduling loop take a fixed time, during which
//! nothing else of the instance runs.

mod support;

use lycheeyard_dispatch::PassPart;
use std::time::Duration;
use support::{Fleet, gang, job, step, urgent_job};
use tokio::time::{Instant, sleep_until};

/// The time within which an urgent job inside its guarantee has to begin.
const RECLAIM_LIMIT: Duration = Duration::from_millis(2700);
const WORKERS: usize = 20;
/// A multiple of what the workers can run at once.
const BACKLOG_JOBS: u64 = 300;
const CALL_COST: Duration = Duration::from_millis(1);
/// Shorter than the lease of the holder.
const SUSPENSION: Duration = Duration::from_millis(1200);

/// Starts a fleet whose only instance has a slow processor, and a backlog of jobs that end at different times.
async fn start_busy_fleet(part: PassPart, cost: Duration) -> Fleet {
    let fleet = Fleet::start(1, WORKERS).await;
    fleet.clock.set_cost(part, cost);
    let link = &fleet.instances[0].store.link;
    link.change(|link| link.call_cost = CALL_COST);
    for number in 0..BACKLOG_JOBS {
        let run_ms = 1000 + number * 371 % 2000;
        let backlog = job(&format!("backlog-{number}"), run_ms, vec![step(8)]);
        fleet.submit(&backlog).await;
    }
    fleet
}

/// Submits a job and returns how long after `due` it began. The job counts as submitted at `due`, since callers do not
/// wait for the processor of the instance that schedules.
async fn first_start_after(fleet: &Fleet, name: &str, due: Instant) -> Duration {
    sleep_until(due).await;
    let job = urgent_job(name, 300, vec![gang(4)]);
    fleet.submit(&job).await;
    fleet.await_first_start(&job.id).await;
    due.elapsed()
}

async fn assert_jobs_begin_in_time(part: PassPart, cost: Duration) {
    let begun = Instant::now();
    let fleet = start_busy_fleet(part, cost).await;
    for second in 3..8 {
        let due = begun + Duration::from_secs(second);
        let waited = first_start_after(&fleet, &format!("job-{second}"), due).await;
        assert!(waited < RECLAIM_LIMIT, "job of second {second}: {waited:?}");
    }
}

/// Guards against a holder that plans in each pass of its loop and leaves no time to carry its decisions out: urgent jobs
/// inside their guarantee began seconds late while there was a backlog.
#[tokio::test(start_paused = true)]
async fn planning_leaves_time_to_carry_out_decisions() {
    assert_jobs_begin_in_time(PassPart::Plan, Duration::from_millis(200)).await;
}

/// Guards against a holder that begins the next pass of its loop at once, however long the last one took: on a processor on
/// which a pass takes long, nothing else got time, and urgent jobs inside their guarantee began seconds late.
#[tokio::test(start_paused = true)]
async fn passes_leave_time_for_other_work() {
    assert_jobs_begin_in_time(PassPart::Tick, Duration::from_millis(50)).await;
}

/// Guards against a holder that stops planning for seconds after its process was suspended during a round, because the round
/// counts as work and the pause after it is a multiple of that time: urgent jobs inside their guarantee would begin late.
#[tokio::test(start_paused = true)]
async fn plans_soon_after_process_was_suspended_during_a_round() {
    let fleet = Fleet::start(1, WORKERS).await;
    sleep_until(Instant::now() + Duration::from_secs(1)).await;
    fleet.clock.set_cost(PassPart::Plan, SUSPENSION);
    first_start_after(&fleet, "before", Instant::now()).await;
    fleet.clock.set_cost(PassPart::Plan, Duration::ZERO);
    let waited = first_start_after(&fleet, "after", Instant::now()).await;
    assert!(waited < RECLAIM_LIMIT, "{waited:?}");
}
