//! Guards against running work that stops, or stale records that keep a broken gang running, while the store is
//! unreachable.

use crate::support::TestCluster;
use lycheeyard_protocol::JobState;
use lycheeyard_scheduler::{DataCentreMembers, RenewalDecision, decide_renewal};
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

#[tokio::test]
async fn running_gang_outlives_store_outage_without_restart() {
    let cluster = TestCluster::start(3).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 2, "").await;
    cluster.wait_for("build", JobState::Running).await;
    cluster.submit("short", 1, "run-ms=1").await;
    cluster.wait_for("short", JobState::Succeeded).await;
    cluster.store.faults().change(|faults| faults.down = true);
    sleep(cluster.task_lease * 2).await;
    assert_eq!(
        cluster.running_tasks().len(),
        2,
        "the gang outlives its first lease"
    );
    cluster.store.faults().change(|faults| faults.down = false);
    cluster.submit("later", 1, "").await;
    cluster.wait_for("later", JobState::Running).await;
    assert_eq!(cluster.record("build").attempts, 1);
}

#[tokio::test]
async fn records_job_end_after_store_outage() {
    let cluster = TestCluster::start(1).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 1, "run-ms=1000").await;
    cluster.wait_for("build", JobState::Running).await;
    cluster.store.faults().change(|faults| faults.down = true);
    cluster
        .eventually("the task ended", || cluster.running_tasks().is_empty())
        .await;
    sleep(Duration::from_secs(2)).await;
    cluster.store.faults().change(|faults| faults.down = false);
    let record = cluster.wait_for("build", JobState::Succeeded).await;
    assert_eq!(record.attempts, 1);
}

#[tokio::test]
async fn partial_gang_expires_without_a_scheduler() {
    let cluster = TestCluster::start(2).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 2, "").await;
    cluster.wait_for("build", JobState::Running).await;
    cluster.store.faults().change(|faults| faults.down = true);
    sleep(Duration::from_millis(1500)).await;
    cluster.worker("w1").restart();
    cluster
        .eventually("the other task is not renewed", || {
            cluster.running_tasks().is_empty()
        })
        .await;
}

#[tokio::test]
async fn gang_with_silent_worker_expires_without_a_scheduler() {
    let cluster = TestCluster::start(2).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 2, "").await;
    cluster.wait_for("build", JobState::Running).await;
    cluster.store.faults().change(|faults| faults.down = true);
    sleep(Duration::from_millis(1500)).await;
    cluster
        .worker("w1")
        .faults()
        .change(|faults| faults.paused = true);
    cluster
        .eventually("the other task is not renewed", || {
            cluster.running_tasks().is_empty()
        })
        .await;
}

#[tokio::test]
async fn replaces_silent_store_connections() {
    let cluster = TestCluster::start(1).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("first", 1, "run-ms=1").await;
    cluster.wait_for("first", JobState::Succeeded).await;
    cluster.store.faults().silence_open_connections();
    cluster.submit("second", 1, "run-ms=1").await;
    cluster.wait_for("second", JobState::Succeeded).await;
}

#[tokio::test]
async fn replaces_silent_worker_connections() {
    let mut cluster = TestCluster::start(1).await;
    // An unanswered call uses up its full timeout of the lease, so the lease is longer than in the other tests.
    cluster.task_lease = Duration::from_secs(6);
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("first", 1, "").await;
    cluster.wait_for("first", JobState::Running).await;
    cluster.worker("w1").faults().silence_open_connections();
    sleep(cluster.task_lease * 2).await;
    assert_eq!(cluster.record("first").attempts, 1);
    assert_eq!(cluster.running_tasks().len(), 1);
}

#[rstest]
#[case::fresh_records(true, true, true, true, RenewalDecision::Renew)]
#[case::store_outage(false, false, true, true, RenewalDecision::Renew)]
#[case::peer_reaches_the_store(false, true, true, true, RenewalDecision::Withhold)]
#[case::isolated(false, false, false, true, RenewalDecision::Withhold)]
#[case::only_instance(false, false, false, false, RenewalDecision::Renew)]
fn renews_from_stale_records_only_in_store_outage(
    #[case] fresh: bool,
    #[case] peer_holds_lease: bool,
    #[case] live_peer: bool,
    #[case] others_listed: bool,
    #[case] expected: RenewalDecision,
) {
    let peer = live_peer.then(|| "e2".parse().expect("identifier is valid"));
    let members = DataCentreMembers {
        live: peer.into_iter().collect(),
        peer_holds_lease,
        others_listed,
    };
    assert_eq!(decide_renewal(fresh, &members), expected);
}
