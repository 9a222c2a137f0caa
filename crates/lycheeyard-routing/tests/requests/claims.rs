//! Non-idempotent requests at one instance.
//!
//! They guard against a request that runs twice or is reported as not run although it ran: after a retry under the
//! same key, after an answer of the store or the runner is lost, and after the caller disconnects.

use crate::support::{Fixture, keyed_lookup, read_body};
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

fn claims(fixture: &Fixture) -> Vec<ClaimRecord> {
    let entries = fixture.store.entries("claims/");
    let records = entries
        .iter()
        .map(|entry| serde_json::from_str(&entry.value));
    records
        .map(|record| record.expect("record is a claim"))
        .collect()
}

#[tokio::test]
async fn returns_stored_answer_to_retry() {
    let fixture = Fixture::start(2).await;
    assert_eq!(
        fixture.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    let again = fixture
        .send(keyed_lookup("k", "pay"))
        .await
        .expect("request is answered");
    assert!(matches!(again.source, AnswerSource::Replayed(_)));
    assert_eq!(read_body(again).await.as_deref(), Ok("answer to pay"));
    assert_eq!(fixture.started_count("pay"), 1);
}

#[tokio::test]
async fn rejects_key_reused_with_another_body() {
    let fixture = Fixture::start(1).await;
    fixture
        .run_once("k", "pay one")
        .await
        .expect("request is answered");
    let err = fixture
        .run_once("k", "pay two")
        .await
        .expect_err("request is rejected");
    assert_eq!(err, RouteError::KeyReused);
    let problem = err.problem();
    assert_eq!(problem.title, ProblemKind::Conflict);
    assert_eq!(problem.outcome, Outcome::NotRun);
    assert_eq!(fixture.started_count("pay two"), 0);
}

#[tokio::test]
async fn runs_concurrent_retries_once_and_answers_all() {
    let fixture = Arc::new(Fixture::start(3).await);
    for runner in &fixture.runners {
        runner.set_work(Duration::from_millis(100));
    }
    let mut callers = JoinSet::new();
    for _ in 0..20 {
        let fixture = fixture.clone();
        callers.spawn(async move { fixture.run_once("k", "pay").await });
    }
    while let Some(done) = callers.join_next().await {
        let answer = done.expect("task does not panic");
        assert_eq!(answer.as_deref(), Ok("answer to pay"));
    }
    assert_eq!(fixture.started_count("pay"), 1);
}

#[tokio::test]
async fn reports_unknown_outcome_for_lost_answer_and_its_retries() {
    let fixture = Fixture::start(1).await;
    fixture.runners[0].set_fault(RunnerFault::CutAnswerAfter(0));
    for _ in 0..3 {
        let err = fixture
            .run_once("k", "pay")
            .await
            .expect_err("answer is lost");
        assert_eq!(err.outcome(), Outcome::Unknown);
        fixture.runners[0].set_fault(RunnerFault::None);
    }
    assert_eq!(fixture.started_count("pay"), 1);
}

#[tokio::test]
async fn stores_answer_after_caller_disconnects() {
    let fixture = Arc::new(Fixture::start(1).await);
    fixture.runners[0].set_work(Duration::from_millis(150));
    let caller = tokio::spawn({
        let fixture = fixture.clone();
        async move { fixture.run_once("k", "pay").await }
    });
    sleep(Duration::from_millis(75)).await;
    caller.abort();
    assert_eq!(
        fixture.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    assert_eq!(fixture.started_count("pay"), 1);
}

#[tokio::test]
async fn serves_lookups_and_rejects_claims_while_store_is_down() {
    let fixture = Fixture::start(1).await;
    fixture.store.faults().change(|faults| faults.down = true);
    assert_eq!(
        fixture.lookup("look").await.as_deref(),
        Ok("answer to look")
    );
    let err = fixture
        .run_once("k", "pay")
        .await
        .expect_err("request is rejected");
    assert_eq!(err.outcome(), Outcome::NotRun);
    assert!(err.problem().retry_after_s.is_some());
    assert_eq!(fixture.started_count("pay"), 0);
}

#[tokio::test]
async fn abandons_claim_confirmed_after_rejection_and_frees_its_key() {
    let fixture = Fixture::start(1).await;
    // The write is applied at once, but its answer arrives after the deadline.
    fixture
        .store
        .faults()
        .change(|faults| faults.slow_ms = 1000);
    let mut req = keyed_lookup("k", "pay");
    req.deadline = Instant::now() + Duration::from_millis(400);
    let err = fixture.send(req).await.expect_err("request is rejected");
    assert_eq!(err.outcome(), Outcome::NotRun);
    let late = &claims(&fixture)[0];
    let status = fixture.router.claim_status(&late.nonce);
    assert_eq!(status, ClaimStatus::Abandoned);
    fixture.store.faults().change(|faults| faults.slow_ms = 0);
    assert_eq!(fixture.started_count("pay"), 0);
    assert_eq!(
        fixture.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    assert_eq!(fixture.started_count("pay"), 1);
}

#[tokio::test]
async fn runs_once_when_store_answer_to_claim_is_lost() {
    let fixture = Fixture::start(1).await;
    fixture
        .store
        .faults()
        .change(|faults| faults.lose_answers = 1);
    assert_eq!(
        fixture.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    assert_eq!(
        fixture.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
    assert_eq!(fixture.started_count("pay"), 1);
}

#[tokio::test]
async fn accepts_same_key_after_rejected_request() {
    let mut fixture = Fixture::start(1).await;
    let list = std::mem::take(&mut fixture.list);
    fixture.table.update(&fixture.list);
    fixture.router.refresh();
    let err = fixture
        .run_once("k", "pay")
        .await
        .expect_err("no runner is live");
    assert_eq!(err.outcome(), Outcome::NotRun);
    fixture.table.update(&list);
    fixture.router.refresh();
    assert_eq!(
        fixture.run_once("k", "pay").await.as_deref(),
        Ok("answer to pay")
    );
}

#[tokio::test]
async fn reports_unknown_outcome_promptly_for_claim_of_unreachable_instance() {
    let fixture = Fixture::start(1).await;
    fixture
        .run_once("k", "pay")
        .await
        .expect("request is answered");
    let entry = &fixture.store.entries("claims/")[0];
    let mut record = claims(&fixture)[0].clone();
    record.state = lycheeyard_state::ClaimState::Claimed;
    record.claimed_by = "e7".parse().expect("name is valid");
    fixture.replace_stored_value(&entry.key, &record).await;
    let started = Instant::now();
    let err = fixture
        .run_once("k", "pay")
        .await
        .expect_err("outcome is unknown");
    assert_eq!(err.outcome(), Outcome::Unknown);
    assert!(err.to_string().contains("e7"), "{err}");
    assert!(started.elapsed() < Duration::from_secs(5));
    assert_eq!(fixture.started_count("pay"), 1);
}
