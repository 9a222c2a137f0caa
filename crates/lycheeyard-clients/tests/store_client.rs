//! Tests of the store client against a store that is down, slow or loses responses.
//!
//! They guard against a write that is applied twice after its response was lost, a read that waits on a
//! dead connection until its deadline, a failing store that still gets every call, and audit calls that
//! use up the rate limit that lease calls need.

use lycheeyard_clients::{CallClass, HttpStore, ResolvedWrite, Store, StoreError};
use lycheeyard_protocol::platform::{Expectation, WriteRequest};
use lycheeyard_standin::StoreStandin;
use std::time::Duration;
use tokio::time::Instant;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn deadline() -> Instant {
    Instant::now() + CALL_TIMEOUT
}

fn create_request(key: &str, value: &str) -> WriteRequest {
    WriteRequest {
        key: key.to_owned(),
        value: Some(value.to_owned()),
        expect: Expectation::Absent,
        expires_in_ms: None,
    }
}

async fn start() -> (StoreStandin, HttpStore) {
    let standin = StoreStandin::start().await.expect("stand-in store starts");
    let store = HttpStore::new(standin.address());
    (standin, store)
}

#[tokio::test]
async fn applies_write_once_when_responses_are_lost() {
    let (standin, store) = start().await;
    standin.faults().change(|faults| faults.lose_answers = 2);
    let result = store
        .write_until_resolved(
            CallClass::Ticket,
            create_request("a", "nonce-1"),
            deadline(),
        )
        .await;
    assert!(
        matches!(result, Ok(ResolvedWrite::Applied(1))),
        "{result:?}"
    );
    assert_eq!(standin.entries("a").len(), 1);
}

#[tokio::test]
async fn returns_conflict_when_no_response_was_lost() {
    let (_standin, store) = start().await;
    let first =
        store.write_until_resolved(CallClass::Ticket, create_request("a", "one"), deadline());
    first.await.expect("store answers");
    let second = store
        .write_until_resolved(CallClass::Ticket, create_request("a", "two"), deadline())
        .await;
    let Ok(ResolvedWrite::Conflict(Some(current))) = second else {
        panic!("expected a conflict, got {second:?}");
    };
    assert_eq!(current.value, "one");
}

#[tokio::test]
async fn retries_read_on_new_connection_when_pooled_one_is_silent() {
    let (standin, store) = start().await;
    let first = store.get(CallClass::Job, "a", deadline()).await;
    assert_eq!(first, Ok(None));
    standin.faults().silence_open_connections();
    let second = store.get(CallClass::Job, "a", deadline()).await;
    assert_eq!(second, Ok(None));
}

#[tokio::test]
async fn breaker_opens_on_failures_and_closes_when_store_recovers() {
    let (standin, store) = start().await;
    standin.faults().change(|faults| faults.down = true);
    let mut has_opened = false;
    for _ in 0..20 {
        let read = store.get(CallClass::Job, "a", deadline()).await;
        has_opened |= read == Err(StoreError::CircuitOpen);
    }
    assert!(has_opened, "the breaker did not open for a failing store");
    let lease = store.get(CallClass::Lease, "a", deadline()).await;
    assert!(matches!(lease, Err(StoreError::NoAnswer(_))), "{lease:?}");
    standin.faults().change(|faults| faults.down = false);
    let recovery_deadline = Instant::now() + Duration::from_secs(20);
    while store.get(CallClass::Job, "a", deadline()).await.is_err() {
        assert!(
            Instant::now() < recovery_deadline,
            "the breaker did not close after the store recovered"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn rate_limit_rejects_low_priority_classes_first() {
    let (_standin, store) = start().await;
    store.set_share(100_000, 100_000, false);
    let mut audit_reads = 0;
    while store.get(CallClass::Audit, "a", deadline()).await.is_ok() {
        audit_reads += 1;
    }
    assert!(audit_reads > 0);
    let rejected = store.get(CallClass::Audit, "a", deadline()).await;
    assert_eq!(rejected, Err(StoreError::RateLimited(CallClass::Audit)));
    for class in [
        CallClass::Job,
        CallClass::Ticket,
        CallClass::Claim,
        CallClass::Lease,
    ] {
        let read = store.get(class, "a", deadline()).await;
        assert_eq!(read, Ok(None), "{class}");
    }
}

#[tokio::test]
async fn slow_store_does_not_cause_read_retries() {
    let (standin, store) = start().await;
    standin.faults().change(|faults| faults.slow_ms = 900);
    for _ in 0..3 {
        let read = store.get(CallClass::Ticket, "a", deadline()).await;
        assert_eq!(read, Ok(None));
    }
    assert_eq!(standin.counts().reads, 3);
}
