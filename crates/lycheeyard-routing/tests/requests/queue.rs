//! Requests that wait for slots.

use crate::support::{Rig, lookup, read};
use lycheeyard_policy::SlotRefusal;
use lycheeyard_protocol::{Outcome, Revision};
use lycheeyard_routing::RouteError;
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

#[tokio::test]
async fn a_request_whose_deadline_cannot_be_met_is_refused_long_before_it() {
    let rig = Arc::new(Rig::start_with_slots(1, 1).await);
    rig.runners[0].set_work(Duration::from_millis(200));
    for _ in 0..3 {
        rig.lookup("teaches the answer time")
            .await
            .expect("an answer");
    }
    let mut callers = JoinSet::new();
    for _ in 0..200 {
        let rig = rig.clone();
        callers.spawn(async move {
            let started = Instant::now();
            let mut req = lookup("queued");
            req.deadline = started + Duration::from_secs(2);
            (rig.send(req).await.map(drop), started.elapsed())
        });
    }
    let mut refused = 0;
    while let Some(done) = callers.join_next().await {
        let (result, elapsed) = done.expect("no panic");
        let Err(err) = result else { continue };
        assert_eq!(err.outcome(), Outcome::NotRun);
        assert!(err.problem().retry_after_s.is_some());
        refused += u32::from(elapsed < Duration::from_secs(1));
    }
    assert!(refused > 100, "only {refused} were refused early");
}

#[tokio::test]
async fn a_caller_that_leaves_frees_its_place() {
    let rig = Arc::new(Rig::start_with_slots(1, 1).await);
    rig.runners[0].set_work(Duration::from_millis(100));
    let running = tokio::spawn({
        let rig = rig.clone();
        async move { rig.lookup("first").await }
    });
    sleep(Duration::from_millis(20)).await;
    let waiting = tokio::spawn({
        let rig = rig.clone();
        async move { rig.lookup("gone").await }
    });
    sleep(Duration::from_millis(20)).await;
    waiting.abort();
    running.await.expect("no panic").expect("an answer");
    rig.lookup("last").await.expect("an answer");
    assert_eq!(rig.begun("gone"), 0);
}

#[tokio::test]
async fn an_organisation_within_its_limits_is_served_beside_a_flood() {
    let rig = Arc::new(Rig::start_with_slots(1, 1).await);
    rig.runners[0].set_work(Duration::from_millis(5));
    let mut flood = JoinSet::new();
    for _ in 0..500 {
        let rig = rig.clone();
        flood.spawn(async move { rig.lookup("flood").await.map(drop) });
    }
    sleep(Duration::from_millis(20)).await;
    for _ in 0..10 {
        let mut req = lookup("modest");
        req.organisation = "org-b".parse().expect("a valid name");
        req.deadline = Instant::now() + Duration::from_secs(1);
        let answer = rig.send(req).await.expect("an answer");
        read(answer).await.expect("a whole answer");
    }
    flood.abort_all();
}

#[tokio::test]
async fn a_runner_that_cannot_be_reached_is_passed_over() {
    let mut rig = Rig::start(2).await;
    rig.runners.remove(0);
    for number in 0..30 {
        let body = format!("number {number}");
        let answer = rig.lookup(&body).await;
        assert_eq!(answer, Ok(format!("answer to {body}")));
    }
}

#[tokio::test]
async fn an_unreachable_runner_alone_means_not_run() {
    let mut rig = Rig::start(1).await;
    rig.runners.clear();
    let mut req = lookup("nobody");
    req.deadline = Instant::now() + Duration::from_secs(3);
    let err = rig.send(req).await.expect_err("refused");
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
async fn a_new_configuration_is_followed_by_the_next_request() {
    let rig = Rig::start(1).await;
    rig.config.send_modify(|config| {
        let mut next = (**config).clone();
        next.revision = Revision(2);
        next.services.clear();
        let mut service = config.services.values().next().cloned().expect("a service");
        service.id = "newer".parse().expect("a valid name");
        next.services.insert(service.id.clone(), service);
        *config = Arc::new(next);
    });
    let mut list = rig.list.clone();
    list.instances[0].service = Some("newer".parse().expect("a valid name"));
    list.instances[0].name = "u9".to_owned();
    rig.table.update(&list);
    let mut req = lookup("newer");
    req.service = "newer".parse().expect("a valid name");
    let answer = rig.send(req).await.expect("an answer");
    assert_eq!(read(answer).await.as_deref(), Ok("answer to newer"));
}
