//! Claims in the store when its answers are lost or late.

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

struct Rig {
    store: StoreStandin,
    first: ClaimStore<HttpStore>,
    second: ClaimStore<HttpStore>,
}

impl Rig {
    async fn start() -> Self {
        let store = StoreStandin::start().await.expect("a store");
        let claims = |name: &str| {
            let instance = name.parse().expect("a valid name");
            ClaimStore::new(HttpStore::new(store.address()), instance)
        };
        Self {
            first: claims("e1"),
            second: claims("e2"),
            store,
        }
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_millis(500)
}

async fn create(claims: &ClaimStore<HttpStore>, body: &[u8]) -> ClaimOutcome {
    let record = claims.prepare(Digest::of(body)).expect("a record");
    let step = claims.create(KEY, &record, soon()).await;
    step.expect("the store is in reach")
}

fn held(step: ClaimOutcome) -> HeldClaim {
    match step {
        ClaimOutcome::Held(held) => held,
        other => panic!("expected a held claim, not {other:?}"),
    }
}

fn present(step: ClaimOutcome) -> ExistingClaim {
    match step {
        ClaimOutcome::Existing(present) => present,
        other => panic!("expected an earlier claim, not {other:?}"),
    }
}

#[tokio::test]
async fn one_of_two_instances_holds_a_claim() {
    let rig = Rig::start().await;
    let mine = held(create(&rig.first, b"pay").await);
    let found = present(create(&rig.second, b"pay").await);
    assert_eq!(found.record, mine.record);
}

#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_recognised() {
    let rig = Rig::start().await;
    rig.store.faults().change(|faults| faults.lose_answers = 1);
    held(create(&rig.first, b"pay").await);
}

#[tokio::test]
async fn a_claim_that_can_be_neither_confirmed_nor_excluded_is_doubtful() {
    let rig = Rig::start().await;
    rig.store.faults().change(|faults| faults.slow_ms = 2000);
    assert_eq!(create(&rig.first, b"pay").await, ClaimOutcome::Unresolved);
    rig.store.faults().change(|faults| faults.slow_ms = 0);
    let found = present(create(&rig.second, b"pay").await);
    let settled = rig.first.mark_abandoned(KEY, &found.record.nonce, soon());
    assert_eq!(settled.await, Ok(true));
    let found = present(create(&rig.second, b"pay").await);
    assert_eq!(found.record.state, ClaimState::Abandoned);
}

#[tokio::test]
async fn an_abandoned_claim_is_replaced_by_one_instance_only() {
    let rig = Rig::start().await;
    let mine = held(create(&rig.first, b"pay").await);
    let finished = rig.first.finish(&mine, ClaimState::Abandoned, soon());
    assert_eq!(finished.await, Ok(true));
    let found = present(create(&rig.second, b"pay").await);
    let digest = Digest::of(b"pay");
    let one = rig.first.prepare(digest.clone()).expect("a record");
    let two = rig.second.prepare(digest).expect("a record");
    let one = rig.first.replace(&found, &one, soon()).await;
    let two = rig.second.replace(&found, &two, soon()).await;
    held(one.expect("the store is in reach"));
    present(two.expect("the store is in reach"));
}

#[tokio::test]
async fn a_result_is_not_written_over_a_newer_claim() {
    let rig = Rig::start().await;
    let mine = held(create(&rig.first, b"pay").await);
    let abandoned = rig.first.finish(&mine, ClaimState::Abandoned, soon());
    assert_eq!(abandoned.await, Ok(true));
    let unknown = ClaimState::Unknown {
        reason: "late".to_owned(),
    };
    let late = rig.first.finish(&mine, unknown, soon());
    assert_eq!(late.await, Ok(false));
}

#[test]
fn a_claim_that_is_not_in_the_book_is_not_taken_for_abandoned() {
    let book = ClaimRegistry::default();
    let nonce = make_nonce().expect("a nonce");
    assert_eq!(book.get(&nonce), None);
    book.set(&nonce, ClaimProgress::InProgress);
    book.set(&nonce, ClaimProgress::Abandoned);
    assert_eq!(book.get(&nonce), Some(ClaimProgress::Abandoned));
}

#[rstest]
#[case(b"plain text")]
#[case(b"\xff\x00\x80")]
#[case(b"")]
fn stored_bytes_come_back_as_they_were(#[case] bytes: &[u8]) {
    assert_eq!(StoredBytes::of(bytes).bytes().as_deref(), Some(bytes));
}
