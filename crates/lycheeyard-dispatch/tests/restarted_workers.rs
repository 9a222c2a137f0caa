//! Workers that start again under the id that they had: calls name them by it, so that calls for one incarnation reach the next.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::{Fleet, StartFault, first_worker, job, step};
use tokio::time::{Instant, sleep};

const RUN_MS: u64 = 3000;
/// The workers have run for so long that the deadlines of orders are far ahead on the clock of a new incarnation.
const UPTIME: Duration = Duration::from_secs(60);

/// Starts a worker again and lists its new incarnation.
fn restart_and_list(fleet: &Fleet, incarnation: u64) {
    fleet.workers.restart(&first_worker());
    list(fleet, incarnation);
}

fn list(fleet: &Fleet, incarnation: u64) {
    let value = incarnation.to_string();
    fleet.store.put("workers/w-0", value.as_bytes());
}

fn assert_no_task_ran_twice(fleet: &Fleet) {
    let violations = fleet.workers.violations();
    assert!(violations.is_empty(), "{violations:?}");
}

// Guards against a run that is stopped and started anew although the next incarnation of its worker, which its order reached,
// has it.
#[tokio::test(start_paused = true)]
async fn run_that_its_order_started_on_the_next_incarnation_continues() {
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(2)).await;
    let job = job("a1", RUN_MS, vec![step(1)]);
    let delayed = StartFault::DelayedBy(Duration::from_millis(10));
    fleet.workers.set_start_faults(&job.id, &[delayed]);
    fleet.submit(&job).await;
    while fleet.workers.last_start_call(&first_worker()).is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    fleet.workers.restart(&first_worker());
    list(&fleet, 2);
    fleet.await_success(&job.id, Duration::from_secs(8)).await;
    assert_eq!(fleet.workers.starts().len(), 1);
}

// Guards against a holder that takes a worker's rejection of a call for its former incarnation for the sign of another holder, and
// ends its term.
#[tokio::test(start_paused = true)]
async fn rejected_call_for_the_former_incarnation_does_not_end_the_term() {
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(2)).await;
    let job = job("a1", RUN_MS, vec![step(1)]);
    let delayed = StartFault::DelayedBy(Duration::from_millis(450));
    fleet.workers.set_start_faults(&job.id, &[delayed]);
    let epoch = fleet.store.item("scheduler").map(|item| item.created);
    fleet.submit(&job).await;
    while fleet.workers.last_start_call(&first_worker()).is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    restart_and_list(&fleet, 2);
    fleet.await_success(&job.id, Duration::from_secs(15)).await;
    assert_no_task_ran_twice(&fleet);
    let present = fleet.store.item("scheduler").map(|item| item.created);
    assert_eq!(present, epoch);
}

// Guards against a worker that is not used any more since it started again while no epoch could be drawn from the store.
#[tokio::test(start_paused = true)]
async fn worker_that_started_again_while_the_store_was_silent_is_used() {
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(2)).await;
    let link = &fleet.instances[0].store.link;
    link.change(|state| state.store_silent = true);
    restart_and_list(&fleet, 2);
    sleep(Duration::from_secs(4)).await;
    link.change(|state| state.store_silent = false);
    let job = job("a1", RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, Duration::from_secs(20)).await;
}

// Guards against an epoch that is drawn once and then serves each further incarnation of a worker: acknowledgements for the
// second incarnation discarded ends of the third.
#[rstest]
#[tokio::test(start_paused = true)]
async fn each_incarnation_rejects_late_acknowledgements_for_the_one_before(
    #[values(1, 2, 3)] restarts: u64,
) {
    let worker = first_worker();
    let fleet = Fleet::start(1, 1).await;
    let first = job("a1", 300, vec![step(4)]);
    for incarnation in 2..=restarts {
        sleep(Duration::from_secs(2)).await;
        restart_and_list(&fleet, incarnation);
    }
    sleep(Duration::from_secs(2)).await;
    fleet.submit(&first).await;
    fleet.await_success(&first.id, Duration::from_secs(4)).await;
    sleep(Duration::from_secs(3)).await;
    fleet
        .workers
        .set_late_reports(&worker, Some(Duration::from_secs(7)));
    sleep(Duration::from_secs(3)).await;
    fleet.workers.set_late_reports(&worker, None);
    restart_and_list(&fleet, restarts + 1);
    sleep(Duration::from_secs(2)).await;
    let second = job("a2", 1500, vec![step(1)]);
    fleet.submit(&second).await;
    fleet.await_first_start(&second.id).await;
    // The run ends while no report arrives.
    fleet
        .workers
        .set_late_reports(&worker, Some(Duration::from_secs(60)));
    sleep(Duration::from_secs(5)).await;
    fleet.workers.set_late_reports(&worker, None);
    fleet
        .await_success(&second.id, Duration::from_secs(15))
        .await;
    let starts = fleet.workers.starts();
    let starts = starts
        .iter()
        .filter(|(task, ..)| task.step.job == second.id);
    assert_eq!(starts.count(), 1);
}

// Guards against a copy of a start order that is forgotten by its age, although an incarnation that nobody has seen since may have
// carried it out: the run counted as lost as soon as the next incarnation was seen, which had it.
#[tokio::test(start_paused = true)]
async fn copy_that_an_unseen_incarnation_carried_out_is_not_forgotten() {
    let worker = first_worker();
    let fleet = Fleet::start(1, 1).await;
    sleep(UPTIME).await;
    let job = job("a1", 20_000, vec![step(1)]);
    let late = StartFault::ExecutedAfter(Duration::from_millis(14_500));
    fleet.workers.set_start_faults(&job.id, &[late]);
    fleet.submit(&job).await;
    // The second copy starts the run, and reports list it.
    sleep(Duration::from_millis(2500)).await;
    assert_eq!(fleet.workers.starts().len(), 1);
    fleet.store.put("workers/w-1", b"1");
    let link = &fleet.instances[0].store.link;
    link.silence_worker(&worker);
    sleep(Duration::from_secs(3)).await;
    fleet.workers.restart(&worker);
    sleep(Duration::from_millis(10_500)).await;
    link.reach_worker(&worker);
    sleep(Duration::from_secs(10)).await;
    assert_no_task_ran_twice(&fleet);
}

// Guards against a copy of a start order that counts only once all attempts have failed: the next incarnation had carried it out
// before.
//
// Reports arrive every 1.5 s; in some of the cases one lists the run in time.
#[rstest]
#[tokio::test(start_paused = true)]
async fn unanswered_copy_counts_before_the_order_is_given_up(
    #[values(0, 300, 600, 900, 1200)] phase_ms: u64,
) {
    let fleet = Fleet::start(1, 1).await;
    sleep(UPTIME + Duration::from_millis(phase_ms)).await;
    let job = job("a1", 20_000, vec![step(1)]);
    let delays = [100, 700, 5000].map(Duration::from_millis);
    let faults = delays.map(StartFault::ExecutedAfter);
    fleet.workers.set_start_faults(&job.id, &faults);
    fleet.submit(&job).await;
    while fleet.workers.last_start_call(&first_worker()).is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    // The first copy is carried out.
    sleep(Duration::from_millis(1150)).await;
    assert_eq!(fleet.workers.starts().len(), 1);
    fleet.store.put("workers/w-1", b"1");
    fleet.workers.restart(&first_worker());
    // The second copy is carried out by the next incarnation.
    sleep(Duration::from_millis(150)).await;
    list(&fleet, 2);
    sleep(Duration::from_secs(10)).await;
    assert_no_task_ran_twice(&fleet);
}

// Guards against a task that is held up by the restart of its worker for longer than its lease and a stop.
#[tokio::test(start_paused = true)]
async fn tasks_of_a_restarted_worker_start_again_within_seconds() {
    let fleet = Fleet::start(1, 2).await;
    sleep(Duration::from_secs(2)).await;
    let job = job("a1", RUN_MS, vec![step(4)]);
    fleet.submit(&job).await;
    fleet.await_first_start(&job.id).await;
    let begun_at = Instant::now();
    restart_and_list(&fleet, 2);
    fleet.await_success(&job.id, Duration::from_secs(20)).await;
    assert!(begun_at.elapsed() < Duration::from_secs(9));
    assert_no_task_ran_twice(&fleet);
}

// Guards against an end that nobody has read and that is discarded: the first request after the connection to the former incarnation
// broke acknowledged that one's ends, and the next incarnation numbers its own from 1 again. Its task, which was done, ran again.
#[rstest]
#[tokio::test(start_paused = true)]
async fn first_request_after_failure_acknowledges_no_end_of_the_next_incarnation(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] round: u32,
) {
    let fleet = Fleet::start(1, 1).await;
    let first = job("a1", 300, vec![step(4)]);
    fleet.submit(&first).await;
    fleet.await_success(&first.id, Duration::from_secs(4)).await;
    sleep(Duration::from_secs(2)).await;
    let second = job("a2", 5, vec![step(1)]);
    fleet.submit(&second).await;
    fleet.workers.restart(&first_worker());
    sleep(Duration::from_secs(1)).await;
    list(&fleet, 2);
    fleet
        .await_success(&second.id, Duration::from_secs(15))
        .await;
    let starts = fleet.workers.starts();
    let starts = starts
        .iter()
        .filter(|(task, ..)| task.step.job == second.id);
    assert_eq!(starts.count(), 1, "round {round}");
}
