//! Findings of the review of incident TWICE: a run, an order or a term that counts as over on evidence that does not prove it.

mod support;

use lycheeyard_dispatch::PassPart;
use lycheeyard_jobs::Job;
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, StartFault, first_worker, job, step};
use tokio::time::{Instant, sleep};

/// The workers have run for so long that the deadlines of orders are far ahead on the clock of a new incarnation.
const UPTIME: Duration = Duration::from_secs(60);
const RUN_MS: u64 = 20_000;

/// Starts a fleet of one worker, and submits a job of one task whose first start calls are not answered and are executed after
/// `delay`.
async fn submit_with_late_starts(
    instances: usize,
    run_ms: u64,
    calls: usize,
    delay: Duration,
) -> (Fleet, Job) {
    let fleet = Fleet::start(instances, 1).await;
    sleep(UPTIME).await;
    let job = job("a1", run_ms, vec![step(1)]);
    let faults = vec![StartFault::ExecutedAfter(delay); calls];
    fleet.workers.set_start_faults(&job.id, &faults);
    fleet.submit(&job).await;
    (fleet, job)
}

fn assert_no_task_ran_twice(fleet: &Fleet) {
    let violations = fleet.workers.violations();
    assert!(violations.is_empty(), "{violations:?}");
}

// Guards against a task that is started elsewhere although a second copy of its start order is still on its way: a report of the
// former incarnation proves that one copy was executed, not that the others will not be.
#[rstest]
#[tokio::test(start_paused = true)]
async fn reported_run_may_start_again_on_next_incarnation_by_an_earlier_copy(
    #[values(4000, 6000, 9000)] delay_ms: u64,
) {
    let (fleet, _) = submit_with_late_starts(1, RUN_MS, 1, Duration::from_millis(delay_ms)).await;
    // The second copy starts the run, and reports list it.
    sleep(Duration::from_millis(2500)).await;
    assert_eq!(fleet.workers.starts().len(), 1);
    fleet.store.put("workers/w-1", b"1");
    sleep(Duration::from_millis(700)).await;
    fleet.workers.restart(&first_worker());
    fleet.store.put("workers/w-0", b"2");
    sleep(Duration::from_secs(12)).await;
    assert_no_task_ran_twice(&fleet);
}

// Guards against a stop that counts as final although the incarnation that confirmed it has ended: the next one does not know
// that the run was stopped, and carries out a late copy of its start order.
#[tokio::test(start_paused = true)]
async fn stop_confirmed_by_one_incarnation_does_not_bind_the_next() {
    let (fleet, _) = submit_with_late_starts(1, RUN_MS, 3, Duration::from_secs(10)).await;
    sleep(Duration::from_secs(2)).await;
    fleet.store.put("workers/w-1", b"1");
    sleep(Duration::from_secs(4)).await;
    fleet.workers.restart(&first_worker());
    fleet.store.put("workers/w-0", b"2");
    sleep(Duration::from_secs(10)).await;
    assert_no_task_ran_twice(&fleet);
}

// Guards against a task that is done and runs again, when a copy of its start order reaches the next incarnation of its worker,
// long after that one was listed: nothing tells it that the run is over.
#[tokio::test(start_paused = true)]
async fn done_task_is_not_started_by_a_late_copy_on_the_next_incarnation() {
    let (fleet, job) = submit_with_late_starts(1, 500, 1, Duration::from_secs(10)).await;
    fleet.await_success(&job.id, Duration::from_secs(4)).await;
    sleep(Duration::from_secs(1)).await;
    fleet.workers.restart(&first_worker());
    fleet.store.put("workers/w-0", b"2");
    sleep(Duration::from_secs(12)).await;
    assert_eq!(fleet.workers.starts().len(), 1);
}

// Guards against a task that is started elsewhere when the leases of a silent worker have expired: the deadline of an unanswered
// order holds on the clock of one incarnation only, and the next one, which the scheduler does not know yet, may carry it out.
#[rstest]
#[tokio::test(start_paused = true)]
async fn expired_lease_does_not_rule_out_late_start_on_unknown_incarnation(
    #[values(10_000, 11_500)] delay_ms: u64,
) {
    let (fleet, _) = submit_with_late_starts(1, RUN_MS, 3, Duration::from_millis(delay_ms)).await;
    sleep(Duration::from_millis(200)).await;
    fleet.instances[0]
        .store
        .link
        .silence_worker(&first_worker());
    fleet.store.put("workers/w-1", b"1");
    // By now no report request is under way.
    sleep(Duration::from_secs(3)).await;
    fleet.workers.restart(&first_worker());
    sleep(Duration::from_secs(14)).await;
    assert_no_task_ran_twice(&fleet);
}

// Guards against start orders that wait behind others to the same silent worker, and are sent after their runs have ended with its lease:
// the worker would reject them by their deadline, but the next incarnation has another clock.
#[tokio::test(start_paused = true)]
async fn start_order_is_not_sent_after_its_deadline() {
    let worker = first_worker();
    let fleet = Fleet::start(1, 1).await;
    sleep(UPTIME).await;
    let job = job("a1", RUN_MS, vec![step(8)]);
    let faults = [StartFault::ExecutedAfter(Duration::from_millis(10)); 60];
    fleet.workers.set_start_faults(&job.id, &faults);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(200)).await;
    fleet.instances[0].store.link.silence_worker(&worker);
    sleep(Duration::from_secs(3)).await;
    fleet.workers.restart(&worker);
    fleet.store.put("workers/w-1", b"1");
    sleep(Duration::from_secs(28)).await;
    assert_no_task_ran_twice(&fleet);
}

// Guards against a wait for late copies that is too short: a report request for the former incarnation may be executed late as well, and
// extends the lease of the run that a late copy has begun.
#[tokio::test(start_paused = true)]
async fn late_report_request_extends_run_that_late_start_has_begun_on_unknown_incarnation() {
    let worker = first_worker();
    let (fleet, _) = submit_with_late_starts(1, RUN_MS, 3, Duration::from_secs(13)).await;
    sleep(Duration::from_millis(200)).await;
    fleet
        .workers
        .set_late_reports(&worker, Some(Duration::from_millis(14_900)));
    fleet.store.put("workers/w-1", b"1");
    // By now no report request that extends the lease is sent any more.
    sleep(Duration::from_secs(5)).await;
    fleet.instances[0].store.link.silence_worker(&worker);
    fleet.workers.restart(&worker);
    sleep(Duration::from_secs(25)).await;
    assert_no_task_ran_twice(&fleet);
    assert_eq!(fleet.workers.starts().len(), 2);
}

// Guards against the same after a takeover: the successor waits only for what its predecessor may have extended, and starts the
// task elsewhere while a late order of the predecessor runs it on an incarnation that nobody has asked yet.
#[rstest]
#[tokio::test(start_paused = true)]
async fn inherited_lease_does_not_rule_out_late_start_on_unknown_incarnation(
    #[values(10_000, 11_500)] delay_ms: u64,
) {
    let delay = Duration::from_millis(delay_ms);
    let (fleet, _) = submit_with_late_starts(2, RUN_MS, 3, delay).await;
    sleep(Duration::from_millis(300)).await;
    for instance in &fleet.instances {
        instance.store.link.silence_worker(&first_worker());
    }
    fleet.kill(0);
    fleet.store.put("workers/w-1", b"1");
    sleep(Duration::from_secs(3)).await;
    fleet.workers.restart(&first_worker());
    sleep(Duration::from_secs(20)).await;
    assert_no_task_ran_twice(&fleet);
}

// Guards against a lease that counts as expired too early: a report request for the former incarnation that is executed late
// extends the lease of the next one, since its deadline is on the clock of the former.
#[tokio::test(start_paused = true)]
async fn late_report_request_for_former_incarnation_extends_the_lease_of_the_next() {
    let worker = first_worker();
    let fleet = Fleet::start(1, 1).await;
    sleep(UPTIME).await;
    fleet
        .workers
        .set_late_reports(&worker, Some(Duration::from_secs(9)));
    sleep(Duration::from_secs(2)).await;
    fleet.workers.set_late_reports(&worker, None);
    fleet.workers.restart(&worker);
    fleet.store.put("workers/w-0", b"2");
    sleep(Duration::from_secs(1)).await;
    fleet.submit(&job("a1", RUN_MS, vec![step(1)])).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.workers.starts().len(), 1);
    fleet.store.put("workers/w-1", b"1");
    fleet.instances[0].store.link.silence_worker(&worker);
    sleep(Duration::from_secs(12)).await;
    assert_no_task_ran_twice(&fleet);
}

// Guards against an end that is lost: ends are numbered anew in each incarnation, and an acknowledgement for the former one that is
// executed late discards the ends of the next one, which no report has listed. The task, which is done, ran again.
#[tokio::test(start_paused = true)]
async fn late_acknowledgement_for_former_incarnation_discards_no_end_of_the_next() {
    let worker = first_worker();
    let fleet = Fleet::start(1, 1).await;
    let first = job("a1", 300, vec![step(4)]);
    fleet.submit(&first).await;
    fleet.await_success(&first.id, Duration::from_secs(4)).await;
    sleep(UPTIME).await;
    fleet
        .workers
        .set_late_reports(&worker, Some(Duration::from_secs(7)));
    sleep(Duration::from_secs(3)).await;
    fleet.workers.set_late_reports(&worker, None);
    fleet.workers.restart(&worker);
    fleet.store.put("workers/w-0", b"2");
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

// Guards against a maintenance order of a holder whose process was suspended after its pass had checked the term, and whose term
// has ended meanwhile. Orders to workers check the term before each call.
//
// Which pass is suspended depends on the random wait before the election, so that only some of the cases hit the one that sends
// the order; `round` repeats them.
#[rstest]
#[tokio::test(start_paused = true)]
async fn resumed_holder_sends_no_maintenance_order_after_its_lease(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] before_start_ms: u64,
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] round: u32,
) {
    let begun_after = time_to_first_maintenance().await;
    let fleet = Fleet::start(1, 1).await;
    fleet.machines.add(4);
    fleet.store.put("waves/7", b"4");
    let moment = begun_after.saturating_sub(Duration::from_millis(before_start_ms));
    sleep(moment).await;
    fleet.clock.set_cost(PassPart::Send, Duration::from_secs(4));
    sleep(Duration::from_secs(4)).await;
    fleet.clock.set_cost(PassPart::Send, Duration::ZERO);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.machines.orders_after_term(), 0, "round {round}");
}

/// Returns how long after the listing of a wave its first machine begins.
async fn time_to_first_maintenance() -> Duration {
    let fleet = Fleet::start(1, 1).await;
    fleet.machines.add(4);
    fleet.store.put("waves/7", b"4");
    let listed_at = Instant::now();
    while fleet.machines.begun() == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    listed_at.elapsed()
}
