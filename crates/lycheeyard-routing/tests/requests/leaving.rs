//! Leaving runners and data centres without runners.
//!
//! They guard against requests to a runner that has announced that it leaves, which the platform's list shows as live
//! until its next update, and against requests that data centres without runners forward to each other endlessly.

use crate::support::{Fixture, keyed_lookup, lookup, read_body};
use hyper::StatusCode;
use lycheeyard_peer::{RequestHandler, RunnerIncarnation, UsageReport};
use lycheeyard_protocol::{
    Incarnation, Instance, InstanceRole, InstanceState, Outcome, platform::InstanceList,
};
use lycheeyard_routing::AnswerSource;
use std::collections::BTreeMap;

fn usage_report(leaving: Vec<RunnerIncarnation>) -> UsageReport {
    UsageReport {
        instance: "e2".parse().expect("name is valid"),
        data_centre: "dc1".parse().expect("name is valid"),
        usage: BTreeMap::new(),
        leaving,
        wanted: BTreeMap::new(),
        offers: Vec::new(),
    }
}

fn runner_incarnation(name: &str, incarnation: u64) -> RunnerIncarnation {
    RunnerIncarnation {
        runner: name.parse().expect("name is valid"),
        incarnation: Incarnation(incarnation),
    }
}

#[tokio::test]
async fn stops_requests_to_leaving_runner_and_reports_it_to_peers() {
    let fixture = Fixture::start(2).await;
    fixture.runners[0].set_extra_headers("lycheeyard-runner-state: leaving\r\n");
    for number in 0..20 {
        let body = format!("number {number}");
        fixture.lookup(&body).await.expect("request is answered");
    }
    let begun: u32 = fixture.runners[0].counts().begun.values().sum();
    assert!(begun <= 1, "{begun} requests went to the leaving runner");
    let answer = fixture.router.exchange_usage(usage_report(Vec::new()));
    assert_eq!(answer.leaving, [runner_incarnation("u0", 1)]);
}

#[tokio::test]
async fn sends_nothing_to_runner_reported_leaving_by_peer_while_list_is_stale() {
    let fixture = Fixture::start(2).await;
    fixture
        .router
        .exchange_usage(usage_report(vec![runner_incarnation("u1", 1)]));
    // The list still shows the runner as live.
    fixture.table.update(&fixture.list);
    fixture.router.refresh();
    for number in 0..20 {
        let body = format!("number {number}");
        fixture.lookup(&body).await.expect("request is answered");
    }
    assert!(fixture.runners[1].counts().begun.is_empty());
}

#[tokio::test]
async fn sends_requests_to_new_incarnation_of_runner_that_left() {
    let mut fixture = Fixture::start(1).await;
    fixture.membership.mark_leaving(runner_incarnation("u0", 1));
    fixture.router.refresh();
    let err = fixture.lookup("none").await.expect_err("no runner is live");
    assert_eq!(err.outcome(), Outcome::NotRun);
    fixture.list.instances[0].incarnation = Incarnation(2);
    fixture.table.update(&fixture.list);
    fixture.router.refresh();
    let answer = fixture.lookup("again").await;
    assert_eq!(answer.as_deref(), Ok("answer to again"));
}

fn remote_entry(fixture: &Fixture) -> Instance {
    Instance {
        name: "e9".to_owned(),
        role: InstanceRole::Entry,
        data_centre: "dc2".parse().expect("name is valid"),
        service: None,
        address: fixture.runners[0].address(),
        peer_address: None,
        incarnation: Incarnation(1),
        state: InstanceState::Live,
    }
}

/// Starts a fixture whose only upstream is an entry instance of another data centre.
async fn start_without_runners() -> Fixture {
    let fixture = Fixture::start(1).await;
    let list = InstanceList {
        instances: vec![remote_entry(&fixture)],
    };
    fixture.table.update(&list);
    fixture.router.refresh();
    fixture
}

#[tokio::test]
async fn forwards_request_to_another_data_centre_without_local_runners() {
    let fixture = start_without_runners().await;
    fixture.runners[0].set_extra_headers("lycheeyard-outcome: done\r\n");
    let answer = fixture
        .send(lookup("far"))
        .await
        .expect("request is answered");
    assert_eq!(answer.status, StatusCode::OK);
    let expected = AnswerSource::DataCentre("dc2".parse().expect("name is valid"), Outcome::Done);
    assert_eq!(answer.source, expected);
    assert_eq!(read_body(answer).await.as_deref(), Ok("answer to far"));
}

#[tokio::test]
async fn rejects_forwarded_request_without_local_runners() {
    let fixture = start_without_runners().await;
    let mut req = lookup("forwarded");
    req.is_forwarded = true;
    let err = fixture.send(req).await.expect_err("request is rejected");
    assert_eq!(err.outcome(), Outcome::NotRun);
    assert_eq!(fixture.started_count("forwarded"), 0);
}

#[tokio::test]
async fn forwards_non_idempotent_request_without_local_runners() {
    let fixture = start_without_runners().await;
    fixture.runners[0].set_extra_headers("lycheeyard-outcome: done\r\n");
    let answer = fixture
        .send(keyed_lookup("key-1", "far"))
        .await
        .expect("request is answered");
    assert_eq!(read_body(answer).await.as_deref(), Ok("answer to far"));
    assert_eq!(fixture.started_count("far"), 1);
}

#[tokio::test]
async fn reports_not_run_with_retry_after_when_no_upstream_is_listed() {
    let fixture = Fixture::start(1).await;
    fixture.table.update(&InstanceList::default());
    fixture.router.refresh();
    let err = fixture
        .lookup("nowhere")
        .await
        .expect_err("request is rejected");
    assert_eq!(err.outcome(), Outcome::NotRun);
    assert!(err.problem().retry_after_s.is_some());
}
