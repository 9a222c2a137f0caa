//! Non-idempotent requests at one instance.

use crate::support::{Rig, keyed, read};
use lycheeyard_peer::{ClaimStatus, RequestHandler};
use lycheeyard_protocol::{Outcome, ProblemKind};
use lycheeyard_routing::{AnswerSource, RouteError};
use lycheeyard_standin::RunnerFault;
use lycheeyard_state::ClaimRecord;
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

fn claims(rig: &Rig) -> Vec<ClaimRecord> {
    let entries = rig.store.entries("claims/");
    let records = entries
        .iter()
        .map(|entry| serde_json::from_str(&entry.value));
    records.map(|record| record.expect("a claim")).collect()
}

#[tokio::test]
async fn a_retry_gets_the_kept_answer() {
    let rig = Rig::start(2).await;
    assert_eq!(
        rig.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    let again = rig.send(keyed("k", "pay")).await.expect("an answer");
    assert!(matches!(again.source, AnswerSource::Replayed(_)));
    assert_eq!(read(again).await.as_deref(), Ok("answer to pay"));
    assert_eq!(rig.begun("pay"), 1);
}

#[tokio::test]
async fn a_key_that_is_used_again_for_another_body_is_refused() {
    let rig = Rig::start(1).await;
    rig.run_once("k", "pay one").await.expect("an answer");
    let err = rig.run_once("k", "pay two").await.expect_err("refused");
    assert_eq!(err, RouteError::KeyReused);
    let problem = err.problem();
    assert_eq!(problem.title, ProblemKind::Conflict);
    assert_eq!(problem.outcome, Outcome::NotRun);
    assert_eq!(rig.begun("pay two"), 0);
}

#[tokio::test]
async fn simultaneous_retries_run_once_and_all_get_the_answer() {
    let rig = Arc::new(Rig::start(3).await);
    for runner in &rig.runners {
        runner.set_work(Duration::from_millis(100));
    }
    let mut callers = JoinSet::new();
    for _ in 0..20 {
        let rig = rig.clone();
        callers.spawn(async move { rig.run_once("k", "pay").await });
    }
    while let Some(done) = callers.join_next().await {
        let answer = done.expect("no panic");
        assert_eq!(answer.as_deref(), Ok("answer to pay"));
    }
    assert_eq!(rig.begun("pay"), 1);
}

#[tokio::test]
async fn a_lost_answer_is_unknown_then_and_later() {
    let rig = Rig::start(1).await;
    rig.runners[0].set_fault(RunnerFault::CutAnswerAfter(0));
    for _ in 0..3 {
        let err = rig.run_once("k", "pay").await.expect_err("lost");
        assert_eq!(err.outcome(), Outcome::Unknown);
        rig.runners[0].set_fault(RunnerFault::None);
    }
    assert_eq!(rig.begun("pay"), 1);
}

#[tokio::test]
async fn a_caller_that_leaves_finds_the_answer_later() {
    let rig = Arc::new(Rig::start(1).await);
    rig.runners[0].set_work(Duration::from_millis(150));
    let caller = tokio::spawn({
        let rig = rig.clone();
        async move { rig.run_once("k", "pay").await }
    });
    sleep(Duration::from_millis(75)).await;
    caller.abort();
    assert_eq!(
        rig.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    assert_eq!(rig.begun("pay"), 1);
}

#[tokio::test]
async fn with_the_store_down_lookups_go_on_and_claims_are_refused() {
    let rig = Rig::start(1).await;
    rig.store.faults().change(|faults| faults.down = true);
    assert_eq!(rig.lookup("look").await.as_deref(), Ok("answer to look"));
    let err = rig.run_once("k", "pay").await.expect_err("refused");
    assert_eq!(err.outcome(), Outcome::NotRun);
    assert!(err.problem().retry_after_s.is_some());
    assert_eq!(rig.begun("pay"), 0);
}

#[tokio::test]
async fn a_claim_that_appears_after_the_refusal_never_runs_and_frees_its_key() {
    let rig = Rig::start(1).await;
    // The write takes effect at once; its answer comes after the deadline.
    rig.store.faults().change(|faults| faults.slow_ms = 1000);
    let mut req = keyed("k", "pay");
    req.deadline = Instant::now() + Duration::from_millis(400);
    let err = rig.send(req).await.expect_err("refused");
    assert_eq!(err.outcome(), Outcome::NotRun);
    let late = &claims(&rig)[0];
    let status = rig.router.claim_status(&late.nonce);
    assert_eq!(status, ClaimStatus::Abandoned);
    rig.store.faults().change(|faults| faults.slow_ms = 0);
    assert_eq!(rig.begun("pay"), 0);
    assert_eq!(
        rig.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    assert_eq!(rig.begun("pay"), 1);
}

#[tokio::test]
async fn a_claim_whose_answer_is_lost_after_the_effect_still_runs_once() {
    let rig = Rig::start(1).await;
    rig.store.faults().change(|faults| faults.lose_answers = 1);
    assert_eq!(
        rig.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    assert_eq!(
        rig.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    assert_eq!(rig.begun("pay"), 1);
}

#[tokio::test]
async fn a_refused_request_can_be_sent_again_under_its_key() {
    let mut rig = Rig::start(1).await;
    let list = std::mem::take(&mut rig.list);
    rig.table.update(&rig.list);
    rig.router.refresh();
    let err = rig.run_once("k", "pay").await.expect_err("no runner");
    assert_eq!(err.outcome(), Outcome::NotRun);
    rig.table.update(&list);
    rig.router.refresh();
    assert_eq!(
        rig.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
}

#[tokio::test]
async fn a_claim_of_an_unreachable_instance_is_unknown_at_once() {
    let rig = Rig::start(1).await;
    rig.run_once("k", "pay").await.expect("an answer");
    let entry = &rig.store.entries("claims/")[0];
    let mut record = claims(&rig)[0].clone();
    record.state = lycheeyard_state::ClaimState::Claimed;
    record.claimed_by = "e7".parse().expect("a valid name");
    rig.overwrite(&entry.key, &record).await;
    let started = Instant::now();
    let err = rig.run_once("k", "pay").await.expect_err("unknown");
    assert_eq!(err.outcome(), Outcome::Unknown);
    assert!(err.to_string().contains("e7"), "{err}");
    assert!(started.elapsed() < Duration::from_secs(5));
    assert_eq!(rig.begun("pay"), 1);
}
