//! Truncated, late, duplicate and misattributed answers.
//!
//! They guard against an answer that reaches the wrong caller, a truncated answer that is returned as complete, and a
//! request that is reported as not run although the runner received it. Connections fail at every byte of requests and
//! answers.

use crate::support::{Fixture, keyed_lookup, lookup, read_body};
use lycheeyard_protocol::Outcome;
use lycheeyard_standin::RunnerFault;
use rstest::rstest;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const MANY: usize = 50;
/// Slightly more than the size of one request.
const REQUEST_BYTES: usize = 120;
const TICK: Duration = Duration::from_millis(5);

#[tokio::test]
async fn retries_answer_truncated_at_any_byte_on_another_runner() {
    let fixture = Fixture::start(2).await;
    let complete = "answer to cut";
    for count in 0..60 {
        fixture.runners[0].set_fault(RunnerFault::CutAnswerAfter(count));
        for _ in 0..2 {
            assert_eq!(
                fixture.lookup("cut").await.as_deref(),
                Ok(complete),
                "{count}"
            );
        }
        // Refills the retry budget.
        fixture.runners[0].set_fault(RunnerFault::None);
        for _ in 0..20 {
            assert_eq!(fixture.lookup("cut").await.as_deref(), Ok(complete));
        }
    }
}

#[tokio::test]
async fn reports_unknown_outcome_for_truncated_answer_of_only_runner() {
    let fixture = Fixture::start(1).await;
    for count in 0..51 {
        fixture.runners[0].set_fault(RunnerFault::CutAnswerAfter(count));
        let result = fixture.lookup("cut").await;
        let err = result.expect_err("answer is truncated");
        assert_eq!(err.outcome(), Outcome::Unknown, "{count}: {err}");
    }
}

#[rstest]
#[case(RunnerFault::NoContentLength)]
#[case(RunnerFault::WrongId)]
#[tokio::test]
async fn rejects_answer_without_marked_end_or_with_wrong_try_id(#[case] fault: RunnerFault) {
    let fixture = Fixture::start(1).await;
    fixture.runners[0].set_fault(fault);
    let err = fixture
        .lookup("rejected")
        .await
        .expect_err("answer is rejected");
    assert_eq!(err.outcome(), Outcome::Unknown);
}

#[rstest]
#[case(Duration::ZERO)]
#[case(Duration::from_millis(2))]
#[tokio::test]
async fn never_returns_duplicate_answer_to_next_caller(#[case] delay: Duration) {
    let fixture = Fixture::start(1).await;
    fixture.runners[0].echo_ids();
    fixture.runners[0].set_fault(RunnerFault::AnswerTwice(delay));
    for number in 0..MANY {
        let body = format!("number {number}");
        if let Ok(answer) = fixture.lookup(&body).await {
            assert_eq!(answer, format!("answer to {body}"));
        }
        if number % 2 == 0 {
            sleep(TICK).await;
        }
    }
}

#[tokio::test]
async fn never_returns_late_answer_to_another_caller() {
    let fixture = Fixture::start(1).await;
    fixture.runners[0].set_fault(RunnerFault::Late(Duration::from_millis(300)));
    let mut late = lookup("late");
    late.deadline = Instant::now() + Duration::from_millis(100);
    let err = fixture.send(late).await.expect_err("deadline passes");
    assert_eq!(err.outcome(), Outcome::Unknown);
    fixture.runners[0].set_fault(RunnerFault::None);
    for number in 0..MANY {
        let body = format!("number {number}");
        let answer = fixture.lookup(&body).await;
        assert_eq!(answer, Ok(format!("answer to {body}")));
        sleep(TICK).await;
    }
}

#[tokio::test]
async fn returns_own_answer_to_each_concurrent_caller() {
    let fixture = std::sync::Arc::new(Fixture::start(3).await);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..MANY * 4 {
        let fixture = fixture.clone();
        callers.spawn(async move {
            let body = format!("number {number}");
            assert_eq!(fixture.lookup(&body).await, Ok(format!("answer to {body}")));
        });
    }
    while let Some(done) = callers.join_next().await {
        done.expect("task does not panic");
    }
    for runner in &fixture.runners {
        assert!(runner.counts().running_peak <= 8);
        assert!(runner.counts().open_peak <= 64);
    }
}

#[tokio::test]
async fn streams_long_answer_and_fails_when_it_is_truncated() {
    const LONG: usize = 3 * 1024 * 1024;
    let fixture = Fixture::start(1).await;
    fixture.runners[0].set_padding(LONG);
    let answer = fixture.lookup("long").await.expect("answer is complete");
    assert_eq!(answer.len(), LONG + "answer to long".len());
    fixture.runners[0].set_fault(RunnerFault::CutAnswerAfter(2 * 1024 * 1024));
    let answer = fixture
        .send(lookup("long"))
        .await
        .expect("head of the answer is received");
    read_body(answer).await.expect_err("answer is truncated");
}

#[tokio::test]
async fn never_reports_not_run_for_request_that_reached_runner() {
    let fixture = Fixture::start(1).await;
    for count in 0..REQUEST_BYTES {
        fixture.runners[0].set_fault(RunnerFault::CloseAfterReading(count));
        let before = fixture.runners[0].counts().partial_reads;
        let mut req = keyed_lookup(&format!("reading-{count}"), "body");
        req.deadline = Instant::now() + Duration::from_millis(300);
        let err = fixture.send(req).await.expect_err("connection is closed");
        sleep(TICK).await;
        let was_read = fixture.runners[0].counts().partial_reads > before;
        if was_read {
            assert_eq!(err.outcome(), Outcome::Unknown, "{count}: {err}");
        }
    }
    for count in 0..60 {
        fixture.runners[0].set_fault(RunnerFault::CutAnswerAfter(count));
        let body = format!("answered {count}");
        let result = fixture.run_once(&format!("answer-{count}"), &body).await;
        match result {
            Ok(answer) => assert_eq!(answer, format!("answer to {body}")),
            Err(err) => assert_eq!(err.outcome(), Outcome::Unknown, "{count}: {err}"),
        }
        assert_eq!(fixture.started_count(&body), 1, "{count}");
    }
}

#[tokio::test]
async fn reports_unknown_outcome_of_first_try_when_second_sent_nothing() {
    let fixture = Fixture::start(1).await;
    fixture.runners[0].set_fault(RunnerFault::Silent);
    let mut req = lookup("silent");
    req.deadline = Instant::now() + Duration::from_millis(600);
    let err = fixture.send(req).await.expect_err("runner does not answer");
    assert_eq!(err.outcome(), Outcome::Unknown);
    assert!(fixture.started_count("silent") >= 1);
}

#[tokio::test]
async fn closes_unresponsive_connections_after_one_failed_try() {
    let fixture = std::sync::Arc::new(Fixture::start(1).await);
    let mut callers = tokio::task::JoinSet::new();
    fixture.runners[0].set_work(Duration::from_millis(20));
    for number in 0..6 {
        let fixture = fixture.clone();
        callers.spawn(async move { fixture.lookup(&format!("warm {number}")).await });
    }
    while callers.join_next().await.is_some() {}
    fixture.runners[0].silence_open_connections();
    let opened = fixture.runners[0].counts().connections;
    let answer = fixture.lookup("after").await;
    assert_eq!(answer.as_deref(), Ok("answer to after"));
    assert_eq!(fixture.runners[0].counts().connections, opened + 1);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..6 {
        let fixture = fixture.clone();
        callers.spawn(async move {
            let body = format!("later {number}");
            assert_eq!(fixture.lookup(&body).await, Ok(format!("answer to {body}")));
            assert_eq!(
                fixture.started_count(&body),
                1,
                "no unresponsive connection is used"
            );
        });
    }
    while let Some(done) = callers.join_next().await {
        done.expect("task does not panic");
    }
}

#[tokio::test]
async fn sends_non_idempotent_request_over_new_connection_after_idle_time() {
    let fixture = Fixture::start(1).await;
    fixture.lookup("warm").await.expect("request is answered");
    sleep(Duration::from_millis(200)).await;
    fixture.runners[0].silence_open_connections();
    let answer = fixture
        .send(keyed_lookup("key-1", "once"))
        .await
        .expect("request is answered");
    assert_eq!(read_body(answer).await.as_deref(), Ok("answer to once"));
    assert_eq!(fixture.started_count("once"), 1);
}
