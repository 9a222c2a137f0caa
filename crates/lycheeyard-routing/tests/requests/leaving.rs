//! Runners that leave or are gone.

use crate::support::{Rig, keyed, lookup, read};
use hyper::StatusCode;
use lycheeyard_peer::{LeavingRunner, RequestHandler, UsageReport};
use lycheeyard_protocol::{
    Incarnation, Instance, InstanceRole, InstanceState, Outcome, platform::InstanceList,
};
use lycheeyard_routing::AnswerSource;
use std::collections::BTreeMap;

fn pulse(leaving: Vec<LeavingRunner>) -> UsageReport {
    UsageReport {
        instance: "e2".parse().expect("a valid name"),
        data_centre: "dc1".parse().expect("a valid name"),
        usage: BTreeMap::new(),
        leaving,
        wanted: BTreeMap::new(),
        offers: Vec::new(),
    }
}

fn life(name: &str, incarnation: u64) -> LeavingRunner {
    LeavingRunner {
        runner: name.parse().expect("a valid name"),
        incarnation: Incarnation(incarnation),
    }
}

#[tokio::test]
async fn a_runner_that_says_it_leaves_gets_nothing_more_and_peers_are_told() {
    let rig = Rig::start(2).await;
    rig.runners[0].set_extra_headers("lycheeyard-runner-state: leaving\r\n");
    for number in 0..20 {
        let body = format!("number {number}");
        rig.lookup(&body).await.expect("an answer");
    }
    let begun: u32 = rig.runners[0].counts().begun.values().sum();
    assert!(begun <= 1, "{begun} requests went to the leaving runner");
    let answer = rig.router.exchange_usage(pulse(Vec::new()));
    assert_eq!(answer.leaving, [life("u0", 1)]);
}

#[tokio::test]
async fn a_runner_that_a_peer_knows_to_leave_gets_nothing_with_the_list_lagging() {
    let rig = Rig::start(2).await;
    rig.router.exchange_usage(pulse(vec![life("u1", 1)]));
    // The list still shows the runner as live.
    rig.table.update(&rig.list);
    rig.router.refresh();
    for number in 0..20 {
        let body = format!("number {number}");
        rig.lookup(&body).await.expect("an answer");
    }
    assert!(rig.runners[1].counts().begun.is_empty());
}

#[tokio::test]
async fn a_new_life_of_a_runner_that_left_gets_work() {
    let mut rig = Rig::start(1).await;
    rig.membership.mark_leaving(life("u0", 1));
    rig.router.refresh();
    let err = rig.lookup("none").await.expect_err("no runner");
    assert_eq!(err.outcome(), Outcome::NotRun);
    rig.list.instances[0].incarnation = Incarnation(2);
    rig.table.update(&rig.list);
    rig.router.refresh();
    let answer = rig.lookup("again").await;
    assert_eq!(answer.as_deref(), Ok("answer to again"));
}

fn entry_elsewhere(rig: &Rig) -> Instance {
    Instance {
        name: "e9".to_owned(),
        role: InstanceRole::Entry,
        data_centre: "dc2".parse().expect("a valid name"),
        service: None,
        address: rig.runners[0].address(),
        peer_address: None,
        incarnation: Incarnation(1),
        state: InstanceState::Live,
    }
}

/// A rig whose only upstream is an entry instance of another data centre.
async fn without_runners() -> Rig {
    let rig = Rig::start(1).await;
    let list = InstanceList {
        instances: vec![entry_elsewhere(&rig)],
    };
    rig.table.update(&list);
    rig.router.refresh();
    rig
}

#[tokio::test]
async fn without_runners_a_request_goes_to_another_data_centre_with_its_outcome() {
    let rig = without_runners().await;
    rig.runners[0].set_extra_headers("lycheeyard-outcome: done\r\n");
    let answer = rig.send(lookup("far")).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let there = AnswerSource::DataCentre("dc2".parse().expect("a valid name"), Outcome::Done);
    assert_eq!(answer.source, there);
    assert_eq!(read(answer).await.as_deref(), Ok("answer to far"));
}

#[tokio::test]
async fn a_request_that_has_hopped_is_refused_rather_than_passed_on() {
    let rig = without_runners().await;
    let mut req = lookup("looping");
    req.hopped = true;
    let err = rig.send(req).await.expect_err("refused");
    assert_eq!(err.outcome(), Outcome::NotRun);
    assert_eq!(rig.begun("looping"), 0);
}

#[tokio::test]
async fn a_non_idempotent_request_without_runners_is_claimed_elsewhere() {
    let rig = without_runners().await;
    rig.runners[0].set_extra_headers("lycheeyard-outcome: done\r\n");
    let answer = rig.send(keyed("key-1", "far")).await.expect("an answer");
    assert_eq!(read(answer).await.as_deref(), Ok("answer to far"));
    assert_eq!(rig.begun("far"), 1);
}

#[tokio::test]
async fn without_any_data_centre_the_refusal_is_truthful_and_says_when_to_return() {
    let rig = Rig::start(1).await;
    rig.table.update(&InstanceList::default());
    rig.router.refresh();
    let err = rig.lookup("nowhere").await.expect_err("refused");
    assert_eq!(err.outcome(), Outcome::NotRun);
    assert!(err.problem().retry_after_s.is_some());
}
