//! Claims of non-idempotent requests when answers of the store are lost or late. The tests guard against a
//! request that two instances send because both assume that they hold its claim.

use lycheeyard_clients::HttpStore;
use lycheeyard_protocol::Digest;
use lycheeyard_standin::StoreStandin;
use lycheeyard_state::{
    ClaimOutcome, ClaimProgress, ClaimRegistry, ClaimState, ClaimStore, ExistingClaim, HeldClaim,
    StoredBytes, make_nonce,
};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const KEY: &str = "claims/org-a/key-1";

/// A store and the claims of two instances that use it.
struct TestInstances {
    store: StoreStandin,
    first: ClaimStore<HttpStore>,
    second: ClaimStore<HttpStore>,
}

impl TestInstances {
    async fn start() -> Self {
        let store = StoreStandin::start().await.expect("store starts");
        let claims = |name: &str| {
            let instance = name.parse().expect("name is valid");
            ClaimStore::new(HttpStore::new(store.address()), instance)
        };
        Self {
            first: claims("e1"),
            second: claims("e2"),
            store,
        }
    }
}

fn short_deadline() -> Instant {
    Instant::now() + Duration::from_millis(500)
}

async fn create(claims: &ClaimStore<HttpStore>, body: &[u8]) -> ClaimOutcome {
    let record = claims.prepare(Digest::of(body)).expect("record is created");
    let outcome = claims.create(KEY, &record, short_deadline()).await;
    outcome.expect("store is reachable")
}

fn held(outcome: ClaimOutcome) -> HeldClaim {
    match outcome {
        ClaimOutcome::Held(held) => held,
        other => panic!("expected a held claim, got {other:?}"),
    }
}

fn existing(outcome: ClaimOutcome) -> ExistingClaim {
    match outcome {
        ClaimOutcome::Existing(existing) => existing,
        other => panic!("expected an existing claim, got {other:?}"),
    }
}

#[tokio::test]
async fn only_one_of_two_instances_holds_a_claim() {
    let instances = TestInstances::start().await;
    let mine = held(create(&instances.first, b"pay").await);
    let found = existing(create(&instances.second, b"pay").await);
    assert_eq!(found.record, mine.record);
}

#[tokio::test]
async fn recognises_own_claim_after_a_lost_answer() {
    let instances = TestInstances::start().await;
    instances
        .store
        .faults()
        .change(|faults| faults.lose_answers = 1);
    held(create(&instances.first, b"pay").await);
}

#[tokio::test]
async fn claim_that_is_neither_confirmed_nor_excluded_is_unconfirmed() {
    let instances = TestInstances::start().await;
    instances
        .store
        .faults()
        .change(|faults| faults.slow_ms = 2000);
    assert_eq!(
        create(&instances.first, b"pay").await,
        ClaimOutcome::Unconfirmed
    );
    instances.store.faults().change(|faults| faults.slow_ms = 0);
    let found = existing(create(&instances.second, b"pay").await);
    let marked = instances
        .first
        .mark_abandoned(KEY, &found.record.nonce, short_deadline());
    assert_eq!(marked.await, Ok(true));
    let found = existing(create(&instances.second, b"pay").await);
    assert_eq!(found.record.state, ClaimState::Abandoned);
}

#[tokio::test]
async fn only_one_instance_replaces_an_abandoned_claim() {
    let instances = TestInstances::start().await;
    let mine = held(create(&instances.first, b"pay").await);
    let finished = instances
        .first
        .finish(&mine, ClaimState::Abandoned, short_deadline());
    assert_eq!(finished.await, Ok(true));
    let found = existing(create(&instances.second, b"pay").await);
    let digest = Digest::of(b"pay");
    let one = instances
        .first
        .prepare(digest.clone())
        .expect("record is created");
    let two = instances.second.prepare(digest).expect("record is created");
    let one = instances
        .first
        .replace(&found, &one, short_deadline())
        .await;
    let two = instances
        .second
        .replace(&found, &two, short_deadline())
        .await;
    held(one.expect("store is reachable"));
    existing(two.expect("store is reachable"));
}

#[tokio::test]
async fn late_result_does_not_overwrite_an_abandoned_claim() {
    let instances = TestInstances::start().await;
    let mine = held(create(&instances.first, b"pay").await);
    let abandoned = instances
        .first
        .finish(&mine, ClaimState::Abandoned, short_deadline());
    assert_eq!(abandoned.await, Ok(true));
    let unknown = ClaimState::Unknown {
        reason: "late".to_owned(),
    };
    let late = instances.first.finish(&mine, unknown, short_deadline());
    assert_eq!(late.await, Ok(false));
}

#[test]
fn claim_outside_the_registry_is_not_treated_as_abandoned() {
    let registry = ClaimRegistry::default();
    let nonce = make_nonce().expect("nonce is generated");
    assert_eq!(registry.get(&nonce), None);
    registry.set(&nonce, ClaimProgress::InProgress);
    registry.set(&nonce, ClaimProgress::Abandoned);
    assert_eq!(registry.get(&nonce), Some(ClaimProgress::Abandoned));
}

#[rstest]
#[case(b"plain text")]
#[case(b"\xff\x00\x80")]
#[case(b"")]
fn stored_bytes_round_trip(#[case] bytes: &[u8]) {
    assert_eq!(StoredBytes::of(bytes).bytes().as_deref(), Some(bytes));
}
