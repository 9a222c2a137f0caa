//! The log lines of the instance that schedules.

mod support;

use lycheeyard_dispatch::PassPart;
use lycheeyard_jobs::Job;
use lycheeyard_standin::CapturedLog;
use std::time::Duration;
use support::{Fleet, gang, job, step, urgent_job};
use tokio::time::sleep;

const JOBS: usize = 20;
const TASKS: u32 = 30;

/// Returns a job of one wide step, a gang in every second job.
fn wide_job(number: usize) -> Job {
    let step = if number.is_multiple_of(2) {
        gang(TASKS)
    } else {
        step(TASKS)
    };
    job(&format!("job-{number}"), 500, vec![step])
}

/// Guards against a line for each task: at hundreds of workers these exceed the limit on lines, so that those which explain
/// a late job are dropped.
#[tokio::test(start_paused = true)]
async fn wide_jobs_need_few_lines() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let fleet = Fleet::start(1, 100).await;
    let jobs: Vec<Job> = (0..JOBS).map(wide_job).collect();
    for job in &jobs {
        fleet.submit(job).await;
    }
    for job in &jobs {
        fleet.await_success(&job.id, Duration::from_secs(5)).await;
    }
    assert_eq!(fleet.workers.starts().len(), JOBS * TASKS as usize);
    for job in &jobs {
        let lines = log.lines_of(&format!("\"{}\"", job.id));
        let count = |message: &str| {
            let lines = lines.iter().filter(|line| line["message"] == message);
            lines.count()
        };
        assert_eq!(count("job: first start"), 1, "{}", job.id);
        assert_eq!(count("order: start"), 1, "{}", job.id);
        assert!((1..=2).contains(&count("run: ended")), "{}", job.id);
        assert_eq!(count("job: ended"), 1, "{}", job.id);
    }
}

/// Guards against a step that could run and does not, of which no log tells why, and against a line a pass while it lasts.
#[tokio::test(start_paused = true)]
async fn step_that_waits_long_is_logged_with_the_reason_at_a_limited_rate() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let fleet = Fleet::start(1, 1).await;
    fleet.drain_worker(&"w-0".parse().expect("worker id is valid"));
    let waiting = job("waits", 500, vec![step(TASKS)]);
    fleet.submit(&waiting).await;
    sleep(Duration::from_secs(18)).await;
    let lines = log.lines_of("\"waits\"");
    let lines = lines
        .iter()
        .filter(|line| line["message"] == "job: waits and nothing of it runs");
    let rooms: Vec<_> = lines.clone().map(|line| &line["room"]).collect();
    let reasons: Vec<_> = lines
        .map(|line| format!("{} {}", line["reason"], line["detail"]))
        .collect();
    assert!((2..=3).contains(&reasons.len()), "{reasons:?}");
    assert_eq!(reasons[0], "\"no-worker\" \"leaving=1\"");
    assert_eq!(rooms[0], "fits 0 times, 0% in use");
}

/// Guards against an urgent job inside its organisation's guarantee that begins too late, of which the logs do not tell what it waited for
/// by then.
#[tokio::test(start_paused = true)]
async fn wait_inside_a_guarantee_is_logged_before_the_job_is_late() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let fleet = Fleet::start(1, 1).await;
    fleet.drain_worker(&"w-0".parse().expect("worker id is valid"));
    sleep(Duration::from_secs(3)).await;
    let waiting = urgent_job("waits", 500, vec![gang(4)]);
    fleet.submit(&waiting).await;
    sleep(Duration::from_millis(2700)).await;
    let lines = log.lines_of("\"waits\"");
    let mut lines = lines
        .iter()
        .filter(|line| line["message"] == "job: waits inside its guarantee");
    let line = lines.next().expect("the wait is logged");
    assert_eq!(line["reason"], "no-worker");
    assert_eq!(line["detail"], "leaving=1");
    assert_eq!(line["room"], "fits 0 times, 0% in use");
    assert!(lines.count() <= 1);
}

/// Guards against logs of instances from which nobody can tell which of them scheduled at a moment.
#[tokio::test(start_paused = true)]
async fn each_instance_that_waits_logs_who_schedules() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let mut fleet = Fleet::start(3, 1).await;
    sleep(Duration::from_secs(1)).await;
    let holders = || {
        let lines = log.lines_of("term: another instance schedules");
        let holders = lines.iter().map(|line| line["holder"].to_string());
        holders.collect::<Vec<_>>()
    };
    let first = holders();
    assert_eq!(first.len(), 2);
    assert_eq!(first[0], first[1]);
    fleet.stop(0).await;
    sleep(Duration::from_secs(1)).await;
    let then = holders();
    assert_eq!(then.len(), 3);
    assert_ne!(then[2], first[0]);
}

/// Guards against a wait beside room of which the log tells neither that room nor when it ends.
#[tokio::test(start_paused = true)]
async fn wait_is_logged_with_the_room_on_all_workers_and_its_end() {
    let log = CapturedLog::default();
    let _guard = log.start();
    let fleet = Fleet::start(1, 1).await;
    fleet.drain_worker(&"w-0".parse().expect("worker id is valid"));
    fleet.submit(&job("waits", 500, vec![step(TASKS)])).await;
    sleep(Duration::from_secs(5)).await;
    let lines = log.lines_of("\"waits\"");
    let mut lines = lines
        .iter()
        .filter(|line| line["message"] == "job: waits and nothing of it runs");
    let line = lines.next().expect("the wait is logged");
    assert_eq!(line["room_anywhere"], "fits 0 times, 0% in use");
    // A worker that leaves has no time at which it comes back.
    assert!(line.get("ends_by_ms").is_none(), "{line}");
}

/// Guards against a holder of which no log tells that its passes come late, or that they rest on old reports.
#[tokio::test(start_paused = true)]
async fn late_pass_is_logged_and_the_longest_gap_as_well() {
    const COST: Duration = Duration::from_millis(1500);
    // The longest pause after a pass.
    const MAX_PAUSE_MS: u64 = 1300;
    let log = CapturedLog::default();
    let _guard = log.start();
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(5)).await;
    let late = || log.lines_of("lead: a pass is late");
    assert_eq!(late(), [] as [serde_json::Value; 0]);
    let passes = || log.lines_of("lead: passes");
    let usual = passes().pop().expect("the times are logged");
    let millis = |field: &str| usual[field].as_u64().expect("the field is a number");
    assert!((1..=150).contains(&millis("longest_gap_ms")), "{usual}");
    // A worker without a report for 3 s accepts no runs.
    assert!((1..3000).contains(&millis("oldest_report_ms")), "{usual}");
    fleet.clock.set_cost(PassPart::Send, COST);
    sleep(COST).await;
    fleet.clock.set_cost(PassPart::Send, Duration::ZERO);
    sleep(Duration::from_secs(5)).await;
    let late = late();
    assert_eq!(late.len(), 1, "{late:?}");
    assert_eq!(late[0]["level"], "WARN");
    assert_eq!(late[0]["gap_ms"], MAX_PAUSE_MS);
    assert_eq!(late[0]["last_pass_ms"], 1500);
    let gaps = passes();
    let gaps: Vec<_> = gaps.iter().map(|line| &line["longest_gap_ms"]).collect();
    assert!(gaps.iter().any(|gap| **gap == MAX_PAUSE_MS), "{gaps:?}");
}

/// Guards against a pass of the loop that does not count for the pause after it, since a line on the passes is logged in its middle.
#[tokio::test(start_paused = true)]
async fn pass_that_is_logged_counts_for_the_pause_after_it() {
    const COST_MS: u64 = 600;
    const SPAN: Duration = Duration::from_secs(12);
    let log = CapturedLog::default();
    let _guard = log.start();
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(5)).await;
    let passes = || {
        let lines = log.lines_of("lead: passes");
        let passes = lines.iter().map(|line| line["passes"].as_u64());
        passes.sum::<Option<u64>>().expect("the field is a number")
    };
    fleet
        .clock
        .set_cost(PassPart::Events, Duration::from_millis(COST_MS));
    sleep(Duration::from_secs(3)).await;
    let before = passes();
    sleep(SPAN).await;
    // Each pass and the pause after it take as long as its parts; lines come each 2 s, so that one span more may be counted.
    let pass_ms = u128::from(2 * COST_MS);
    let span_ms = SPAN.as_millis() + 2000;
    assert!(u128::from(passes() - before) <= span_ms / pass_ms);
}
