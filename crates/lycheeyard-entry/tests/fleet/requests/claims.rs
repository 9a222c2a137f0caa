//! Non-idempotent requests through several entry processes.
//!
//! Guards against a request that runs twice when the store is slow, when its answers are lost, or when the claiming
//! instance dies.

use super::call::{Answer, EVENT_TIMEOUT, send, start};
use crate::support::address;
use lycheeyard_protocol::Outcome;
use lycheeyard_standin::EntryFleet;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

fn keyed_headers(key: &str, work_us: u64) -> Vec<(&'static str, String)> {
    vec![
        ("lycheeyard-organisation", "org-a".to_owned()),
        ("idempotency-key", key.to_owned()),
        ("standin-work-us", work_us.to_string()),
    ]
}

async fn send_keyed(address: SocketAddr, key: &str, work_us: u64) -> Option<Answer> {
    let headers = keyed_headers(key, work_us);
    let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
    send(address, &headers, "pay").await
}

/// How many requests with a key were run, over all runners.
fn run_count(fleet: &EntryFleet, key: &str) -> u32 {
    let runners = fleet.standins.runners.values();
    let counts = runners.map(|runner| runner.counts().by_key.get(key).copied());
    counts.map(Option::unwrap_or_default).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_through_other_instances_run_once_with_slow_store() {
    let fleet = start(3).await;
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.slow_ms = 150);
    let addresses = fleet.names().into_iter().map(|name| address(&fleet, &name));
    let mut callers = JoinSet::new();
    for address in addresses.cycle().take(12) {
        callers.spawn(async move { send_keyed(address, "slow", 200_000).await });
    }
    while let Some(done) = callers.join_next().await {
        let answer = done
            .expect("task does not panic")
            .expect("entry instance answers");
        assert_eq!(answer.outcome, Some(Outcome::Done));
        assert_eq!(answer.body, "pay");
    }
    assert_eq!(run_count(&fleet, "slow"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_runs_at_most_once_when_store_answers_are_lost() {
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
            let answer = send_keyed(*address, &key, 1000)
                .await
                .expect("entry instance answers");
            let is_consistent = match answer.outcome {
                Some(Outcome::Done) => answer.body == "pay",
                Some(Outcome::NotRun | Outcome::Unknown) => true,
                None => false,
            };
            assert!(is_consistent, "{:?} {:?}", answer.status, answer.body);
        }
        assert!(run_count(&fleet, &key) <= 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_rerun_after_claiming_instance_died() {
    let mut fleet = start(2).await;
    let first = address(&fleet, "dc1-e1");
    let caller = tokio::spawn(async move { send_keyed(first, "dead", 600_000).await });
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while run_count(&fleet, "dead") == 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.kill("dc1-e1").expect("process is killed");
    assert!(caller.await.expect("task does not panic").is_none());
    let answer = send_keyed(address(&fleet, "dc1-e2"), "dead", 1000).await;
    let answer = answer.expect("entry instance answers");
    assert_eq!(answer.outcome, Some(Outcome::Unknown));
    assert!(answer.problem().detail.contains("dc1-e1"));
    assert_eq!(run_count(&fleet, "dead"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_abandoned_after_deadline_is_run_by_another_instance() {
    let fleet = start(2).await;
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.slow_ms = 1000);
    let mut headers = keyed_headers("late", 1000);
    headers.push(("lycheeyard-deadline-ms", "400".to_owned()));
    let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
    let rejected = send(address(&fleet, "dc1-e1"), &headers, "pay").await;
    assert_eq!(
        rejected.expect("entry instance answers").outcome,
        Some(Outcome::NotRun)
    );
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.slow_ms = 0);
    let answer = send_keyed(address(&fleet, "dc1-e2"), "late", 1000).await;
    assert_eq!(
        answer.expect("entry instance answers").outcome,
        Some(Outcome::Done)
    );
    assert_eq!(run_count(&fleet, "late"), 1);
}
