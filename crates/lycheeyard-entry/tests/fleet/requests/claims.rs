//! Non-idempotent requests through several entry processes.

use super::call::{Answer, LIVENESS, address, send, start};
use lycheeyard_protocol::Outcome;
use lycheeyard_standin::EntryFleet;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

fn keyed(key: &str, work_us: u64) -> Vec<(&'static str, String)> {
    vec![
        ("lycheeyard-organisation", "org-a".to_owned()),
        ("idempotency-key", key.to_owned()),
        ("standin-work-us", work_us.to_string()),
    ]
}

async fn pay(address: SocketAddr, key: &str, work_us: u64) -> Option<Answer> {
    let headers = keyed(key, work_us);
    let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
    send(address, &headers, "pay").await
}

/// How often a key was run, over all runners.
fn runs(fleet: &EntryFleet, key: &str) -> u32 {
    let runners = fleet.standins.runners.values();
    let counts = runners.map(|runner| runner.counts().by_key.get(key).copied());
    counts.map(Option::unwrap_or_default).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_through_other_instances_run_once_while_claims_are_slow() {
    let fleet = start(3).await;
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.slow_ms = 150);
    let names = fleet.names();
    let addresses = names.iter().map(|name| address(&fleet, name));
    let mut callers = JoinSet::new();
    for address in addresses.cycle().take(12) {
        callers.spawn(async move { pay(address, "slow", 200_000).await });
    }
    while let Some(done) = callers.join_next().await {
        let answer = done.expect("no panic").expect("an answer");
        assert_eq!(answer.outcome, Some(Outcome::Done));
        assert_eq!(answer.body, "pay");
    }
    assert_eq!(runs(&fleet, "slow"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_lost_after_their_effect_run_once() {
    let fleet = start(2).await;
    let addresses = [address(&fleet, "dc1-e1"), address(&fleet, "dc1-e2")];
    for number in 0..10 {
        let key = format!("lost-{number}");
        fleet
            .standins
            .store
            .faults()
            .change(|faults| faults.lose_answers = 2);
        for address in addresses.iter().cycle().take(4) {
            let answer = pay(*address, &key, 1000).await.expect("an answer");
            let truthful = match answer.outcome {
                Some(Outcome::Done) => answer.body == "pay",
                Some(Outcome::NotRun | Outcome::Unknown) => true,
                None => false,
            };
            assert!(truthful, "{:?} {:?}", answer.status, answer.body);
        }
        assert!(runs(&fleet, &key) <= 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_claiming_instance_died_is_not_run_again() {
    let mut fleet = start(2).await;
    let first = address(&fleet, "dc1-e1");
    let caller = tokio::spawn(async move { pay(first, "dead", 600_000).await });
    let deadline = Instant::now() + LIVENESS;
    while runs(&fleet, "dead") == 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.kill("dc1-e1").expect("a running entry");
    assert!(caller.await.expect("no panic").is_none());
    let answer = pay(address(&fleet, "dc1-e2"), "dead", 1000).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.outcome, Some(Outcome::Unknown));
    assert!(answer.problem().detail.contains("dc1-e1"));
    assert_eq!(runs(&fleet, "dead"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_its_instance_gave_up_is_run_by_another() {
    let fleet = start(2).await;
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.slow_ms = 1000);
    let mut headers = keyed("late", 1000);
    headers.push(("lycheeyard-deadline-ms", "400".to_owned()));
    let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
    let refused = send(address(&fleet, "dc1-e1"), &headers, "pay").await;
    assert_eq!(refused.expect("an answer").outcome, Some(Outcome::NotRun));
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.slow_ms = 0);
    let answer = pay(address(&fleet, "dc1-e2"), "late", 1000).await;
    assert_eq!(answer.expect("an answer").outcome, Some(Outcome::Done));
    assert_eq!(runs(&fleet, "late"), 1);
}
