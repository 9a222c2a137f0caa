//! Answers that are cut, late, doubled or not the caller's own.

use crate::support::{Rig, keyed, lookup, read};
use lycheeyard_protocol::Outcome;
use lycheeyard_standin::RunnerFault;
use rstest::rstest;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const MANY: usize = 50;
/// A little more than the bytes of one request.
const REQUEST_BYTES: usize = 120;
const TICK: Duration = Duration::from_millis(5);

#[tokio::test]
async fn a_cut_answer_is_retried_at_another_runner_at_every_byte() {
    let rig = Rig::start(2).await;
    let whole = "answer to cut";
    for count in 0..60 {
        rig.runners[0].set_fault(RunnerFault::CutAnswerAfter(count));
        for _ in 0..2 {
            assert_eq!(rig.lookup("cut").await.as_deref(), Ok(whole), "{count}");
        }
        // Refills the retry budget.
        rig.runners[0].set_fault(RunnerFault::None);
        for _ in 0..20 {
            assert_eq!(rig.lookup("cut").await.as_deref(), Ok(whole));
        }
    }
}

#[tokio::test]
async fn a_cut_answer_of_the_only_runner_is_never_passed_on() {
    let rig = Rig::start(1).await;
    for count in 0..51 {
        rig.runners[0].set_fault(RunnerFault::CutAnswerAfter(count));
        let result = rig.lookup("cut").await;
        let err = result.expect_err("no whole answer was sent");
        assert_eq!(err.outcome(), Outcome::Unknown, "{count}: {err}");
    }
}

#[rstest]
#[case(RunnerFault::NoContentLength)]
#[case(RunnerFault::WrongId)]
#[tokio::test]
async fn an_answer_that_cannot_be_trusted_is_not_passed_on(#[case] fault: RunnerFault) {
    let rig = Rig::start(1).await;
    rig.runners[0].set_fault(fault);
    let err = rig.lookup("doubt").await.expect_err("not trusted");
    assert_eq!(err.outcome(), Outcome::Unknown);
}

#[rstest]
#[case(Duration::ZERO)]
#[case(Duration::from_millis(2))]
#[tokio::test]
async fn a_doubled_answer_never_reaches_the_next_caller(#[case] delay: Duration) {
    let rig = Rig::start(1).await;
    rig.runners[0].echo_ids();
    rig.runners[0].set_fault(RunnerFault::AnswerTwice(delay));
    for number in 0..MANY {
        let body = format!("number {number}");
        if let Ok(answer) = rig.lookup(&body).await {
            assert_eq!(answer, format!("answer to {body}"));
        }
        if number % 2 == 0 {
            sleep(TICK).await;
        }
    }
}

#[tokio::test]
async fn a_late_answer_never_reaches_another_caller() {
    let rig = Rig::start(1).await;
    rig.runners[0].set_fault(RunnerFault::Late(Duration::from_millis(300)));
    let mut late = lookup("late");
    late.deadline = Instant::now() + Duration::from_millis(100);
    let err = rig.send(late).await.expect_err("too late");
    assert_eq!(err.outcome(), Outcome::Unknown);
    rig.runners[0].set_fault(RunnerFault::None);
    for number in 0..MANY {
        let body = format!("number {number}");
        let answer = rig.lookup(&body).await;
        assert_eq!(answer, Ok(format!("answer to {body}")));
        sleep(TICK).await;
    }
}

#[tokio::test]
async fn parallel_callers_get_their_own_answers() {
    let rig = std::sync::Arc::new(Rig::start(3).await);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..MANY * 4 {
        let rig = rig.clone();
        callers.spawn(async move {
            let body = format!("number {number}");
            assert_eq!(rig.lookup(&body).await, Ok(format!("answer to {body}")));
        });
    }
    while let Some(done) = callers.join_next().await {
        done.expect("no panic");
    }
    for runner in &rig.runners {
        assert!(runner.counts().running_peak <= 8);
        assert!(runner.counts().open_peak <= 64);
    }
}

#[tokio::test]
async fn a_long_answer_is_streamed_and_its_cut_is_an_error() {
    const LONG: usize = 3 * 1024 * 1024;
    let rig = Rig::start(1).await;
    rig.runners[0].set_padding(LONG);
    let answer = rig.lookup("long").await.expect("a whole answer");
    assert_eq!(answer.len(), LONG + "answer to long".len());
    rig.runners[0].set_fault(RunnerFault::CutAnswerAfter(2 * 1024 * 1024));
    let answer = rig.send(lookup("long")).await.expect("its head");
    read(answer).await.expect_err("the answer was cut");
}

#[tokio::test]
async fn not_run_is_never_said_of_a_request_that_was_begun() {
    let rig = Rig::start(1).await;
    for count in 0..REQUEST_BYTES {
        rig.runners[0].set_fault(RunnerFault::CloseAfterReading(count));
        let before = rig.runners[0].counts().partial_reads;
        let mut req = keyed(&format!("reading-{count}"), "body");
        req.deadline = Instant::now() + Duration::from_millis(300);
        let err = rig.send(req).await.expect_err("the connection was closed");
        sleep(TICK).await;
        let was_read = rig.runners[0].counts().partial_reads > before;
        if was_read {
            assert_eq!(err.outcome(), Outcome::Unknown, "{count}: {err}");
        }
    }
    for count in 0..60 {
        rig.runners[0].set_fault(RunnerFault::CutAnswerAfter(count));
        let body = format!("answered {count}");
        let result = rig.run_once(&format!("answer-{count}"), &body).await;
        match result {
            Ok(answer) => assert_eq!(answer, format!("answer to {body}")),
            Err(err) => assert_eq!(err.outcome(), Outcome::Unknown, "{count}: {err}"),
        }
        assert_eq!(rig.begun(&body), 1, "{count}");
    }
}

#[tokio::test]
async fn a_failed_first_try_is_not_hidden_by_a_second_that_sent_nothing() {
    let rig = Rig::start(1).await;
    rig.runners[0].set_fault(RunnerFault::Silent);
    let mut req = lookup("silent");
    req.deadline = Instant::now() + Duration::from_millis(600);
    let err = rig.send(req).await.expect_err("silent");
    assert_eq!(err.outcome(), Outcome::Unknown);
    assert!(rig.begun("silent") >= 1);
}

#[tokio::test]
async fn silenced_connections_cost_one_try_and_are_not_used_again() {
    let rig = std::sync::Arc::new(Rig::start(1).await);
    let mut callers = tokio::task::JoinSet::new();
    rig.runners[0].set_work(Duration::from_millis(20));
    for number in 0..6 {
        let rig = rig.clone();
        callers.spawn(async move { rig.lookup(&format!("warm {number}")).await });
    }
    while callers.join_next().await.is_some() {}
    rig.runners[0].silence_open_connections();
    let opened = rig.runners[0].counts().connections;
    let answer = rig.lookup("after").await;
    assert_eq!(answer.as_deref(), Ok("answer to after"));
    assert_eq!(rig.runners[0].counts().connections, opened + 1);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..6 {
        let rig = rig.clone();
        callers.spawn(async move {
            let body = format!("later {number}");
            assert_eq!(rig.lookup(&body).await, Ok(format!("answer to {body}")));
            assert_eq!(rig.begun(&body), 1, "no silent connection was used");
        });
    }
    while let Some(done) = callers.join_next().await {
        done.expect("no panic");
    }
}

#[tokio::test]
async fn a_non_idempotent_request_takes_no_idle_connection() {
    let rig = Rig::start(1).await;
    rig.lookup("warm").await.expect("an answer");
    sleep(Duration::from_millis(200)).await;
    rig.runners[0].silence_open_connections();
    let answer = rig.send(keyed("key-1", "once")).await.expect("an answer");
    assert_eq!(read(answer).await.as_deref(), Ok("answer to once"));
    assert_eq!(rig.begun("once"), 1);
}
