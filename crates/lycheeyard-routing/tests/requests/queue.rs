//! Requests that wait for slots.
//!
//! They guard against requests that wait although their deadline cannot be met, a flood of one organisation that blocks
//! another, and requests that fail because one of several runners is unreachable.

use crate::support::{Fixture, lookup, read_body};
use lycheeyard_policy::SlotRefusal;
use lycheeyard_protocol::{Outcome, Revision};
use lycheeyard_routing::RouteError;
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

#[tokio::test]
async fn rejects_request_early_when_its_deadline_cannot_be_met() {
    let fixture = Arc::new(Fixture::start_with_slots(1, 1).await);
    fixture.runners[0].set_work(Duration::from_millis(200));
    for _ in 0..3 {
        fixture
            .lookup("warm-up")
            .await
            .expect("request is answered");
    }
    let mut callers = JoinSet::new();
    for _ in 0..200 {
        let fixture = fixture.clone();
        callers.spawn(async move {
            let started = Instant::now();
            let mut req = lookup("queued");
            req.deadline = started + Duration::from_secs(2);
            (fixture.send(req).await.map(drop), started.elapsed())
        });
    }
    let mut early_refusals = 0;
    while let Some(done) = callers.join_next().await {
        let (result, elapsed) = done.expect("task does not panic");
        let Err(err) = result else { continue };
        assert_eq!(err.outcome(), Outcome::NotRun);
        assert!(err.problem().retry_after_s.is_some());
        early_refusals += u32::from(elapsed < Duration::from_secs(1));
    }
    assert!(
        early_refusals > 100,
        "only {early_refusals} were refused early"
    );
}

#[tokio::test]
async fn removes_queued_request_when_its_caller_disconnects() {
    let fixture = Arc::new(Fixture::start_with_slots(1, 1).await);
    fixture.runners[0].set_work(Duration::from_millis(100));
    let running = tokio::spawn({
        let fixture = fixture.clone();
        async move { fixture.lookup("first").await }
    });
    sleep(Duration::from_millis(20)).await;
    let waiting = tokio::spawn({
        let fixture = fixture.clone();
        async move { fixture.lookup("abandoned").await }
    });
    sleep(Duration::from_millis(20)).await;
    waiting.abort();
    running
        .await
        .expect("task does not panic")
        .expect("request is answered");
    fixture.lookup("last").await.expect("request is answered");
    assert_eq!(fixture.started_count("abandoned"), 0);
}

#[tokio::test]
async fn serves_organisation_within_its_limits_during_flood_of_another() {
    let fixture = Arc::new(Fixture::start_with_slots(1, 1).await);
    fixture.runners[0].set_work(Duration::from_millis(5));
    let mut flood = JoinSet::new();
    for _ in 0..500 {
        let fixture = fixture.clone();
        flood.spawn(async move { fixture.lookup("flood").await.map(drop) });
    }
    sleep(Duration::from_millis(20)).await;
    for _ in 0..10 {
        let mut req = lookup("modest");
        req.organisation = "org-b".parse().expect("name is valid");
        req.deadline = Instant::now() + Duration::from_secs(1);
        let answer = fixture.send(req).await.expect("request is answered");
        read_body(answer).await.expect("answer is complete");
    }
    flood.abort_all();
}

#[tokio::test]
async fn skips_unreachable_runner() {
    let mut fixture = Fixture::start(2).await;
    fixture.runners.remove(0);
    for number in 0..30 {
        let body = format!("number {number}");
        let answer = fixture.lookup(&body).await;
        assert_eq!(answer, Ok(format!("answer to {body}")));
    }
}

#[tokio::test]
async fn reports_not_run_when_only_runner_is_unreachable() {
    let mut fixture = Fixture::start(1).await;
    fixture.runners.clear();
    let mut req = lookup("nobody");
    req.deadline = Instant::now() + Duration::from_secs(3);
    let err = fixture.send(req).await.expect_err("request is rejected");
    assert_eq!(err.outcome(), Outcome::NotRun);
    let expected = matches!(
        err,
        RouteError::Unreachable { .. }
            | RouteError::NoSlot {
                refusal: SlotRefusal::TooLate { .. },
                ..
            }
    );
    assert!(expected, "{err:?}");
}

#[tokio::test]
async fn applies_new_configuration_to_next_request() {
    let fixture = Fixture::start(1).await;
    fixture.config.send_modify(|config| {
        let mut next = (**config).clone();
        next.revision = Revision(2);
        next.services.clear();
        let mut service = config
            .services
            .values()
            .next()
            .cloned()
            .expect("configuration has a service");
        service.id = "newer".parse().expect("name is valid");
        next.services.insert(service.id.clone(), service);
        *config = Arc::new(next);
    });
    let mut list = fixture.list.clone();
    list.instances[0].service = Some("newer".parse().expect("name is valid"));
    list.instances[0].name = "u9".to_owned();
    fixture.table.update(&list);
    let mut req = lookup("newer");
    req.service = "newer".parse().expect("name is valid");
    let answer = fixture.send(req).await.expect("request is answered");
    assert_eq!(read_body(answer).await.as_deref(), Ok("answer to newer"));
}
