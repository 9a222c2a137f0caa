//! The store client against a store that is down, silent or loses answers.

use lycheeyard_clients::{CallClass, HttpStore, ResolvedWrite, Store, StoreError};
use lycheeyard_protocol::platform::{Expectation, WriteRequest};
use lycheeyard_standin::StoreStandin;
use std::time::Duration;
use tokio::time::Instant;

const CALL: Duration = Duration::from_secs(5);

fn deadline() -> Instant {
    Instant::now() + CALL
}

fn create(key: &str, value: &str) -> WriteRequest {
    WriteRequest {
        key: key.to_owned(),
        value: Some(value.to_owned()),
        expect: Expectation::Absent,
        expires_in_ms: None,
    }
}

async fn start() -> (StoreStandin, HttpStore) {
    let standin = StoreStandin::start().await.expect("a store");
    let store = HttpStore::new(standin.address());
    (standin, store)
}

#[tokio::test]
async fn a_lost_answer_is_settled_as_applied_once() {
    let (standin, store) = start().await;
    standin.faults().change(|faults| faults.lose_answers = 2);
    let written = store
        .write_until_resolved(CallClass::Ticket, create("a", "nonce-1"), deadline())
        .await;
    assert!(
        matches!(written, Ok(ResolvedWrite::Applied(1))),
        "{written:?}"
    );
    assert_eq!(standin.entries("a").len(), 1);
}

#[tokio::test]
async fn a_conflict_without_a_lost_answer_is_certain() {
    let (_standin, store) = start().await;
    let first = store.write_until_resolved(CallClass::Ticket, create("a", "one"), deadline());
    first.await.expect("a write");
    let second = store
        .write_until_resolved(CallClass::Ticket, create("a", "two"), deadline())
        .await;
    let Ok(ResolvedWrite::Conflict(Some(present))) = second else {
        panic!("not a conflict: {second:?}");
    };
    assert_eq!(present.value, "one");
}

#[tokio::test]
async fn a_read_on_a_silent_connection_is_tried_again_on_a_new_one() {
    let (standin, store) = start().await;
    let first = store.get(CallClass::Job, "a", deadline()).await;
    assert_eq!(first, Ok(None));
    standin.faults().silence_open_connections();
    let second = store.get(CallClass::Job, "a", deadline()).await;
    assert_eq!(second, Ok(None));
}

#[tokio::test]
async fn a_failing_store_is_probed_and_used_again_when_it_answers() {
    let (standin, store) = start().await;
    standin.faults().change(|faults| faults.down = true);
    let mut suspended = false;
    for _ in 0..20 {
        let read = store.get(CallClass::Job, "a", deadline()).await;
        suspended |= read == Err(StoreError::CircuitOpen);
    }
    assert!(suspended, "a failing store was called without end");
    let lease = store.get(CallClass::Lease, "a", deadline()).await;
    assert!(matches!(lease, Err(StoreError::NoAnswer(_))), "{lease:?}");
    standin.faults().change(|faults| faults.down = false);
    let liveness = Instant::now() + Duration::from_secs(20);
    while store.get(CallClass::Job, "a", deadline()).await.is_err() {
        assert!(Instant::now() < liveness, "the store is never used again");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn later_classes_run_out_first() {
    let (_standin, store) = start().await;
    store.set_share(100_000, 100_000, false);
    let mut audits = 0;
    while store.get(CallClass::Audit, "a", deadline()).await.is_ok() {
        audits += 1;
    }
    assert!(audits > 0);
    let over = store.get(CallClass::Audit, "a", deadline()).await;
    assert_eq!(over, Err(StoreError::RateLimited(CallClass::Audit)));
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
async fn a_slow_store_is_not_taken_for_a_silent_one() {
    let (standin, store) = start().await;
    standin.faults().change(|faults| faults.slow_ms = 900);
    for _ in 0..3 {
        let read = store.get(CallClass::Ticket, "a", deadline()).await;
        assert_eq!(read, Ok(None));
    }
    assert_eq!(standin.counts().reads, 3);
}
