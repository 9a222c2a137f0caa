//! Records of jobs that another version wrote, or that are damaged.

use crate::support::{TestCluster, deadline};
use lycheeyard_clients::{CallClass, HttpStore, Store};
use lycheeyard_protocol::{JobState, platform::Expectation};
use rstest::rstest;
use tokio::time::sleep;

async fn put(cluster: &TestCluster, key: &str, value: &str) {
    let store = HttpStore::new(cluster.store.address());
    let any = Expectation::Any;
    let written = store.put(
        CallClass::Job,
        key.to_owned(),
        value.to_owned(),
        any,
        deadline(),
    );
    written.await.expect("store answers");
}

/// Guards against a data centre in which nothing is scheduled any more, since one record cannot be read: in a change, and in the first
/// full read of a scheduler. The tasks of a job whose record is damaged go on.
#[rstest]
#[tokio::test]
async fn record_that_cannot_be_read_stops_no_other_job(
    #[values("", "{", "null", "{\"spec\":[]}", "1e400")] value: &str,
) {
    let cluster = TestCluster::start(4).await;
    let scheduler = cluster.scheduler("e1");
    cluster.submit("build", 2, "").await;
    cluster.wait_for("build", JobState::Running).await;
    let entries = cluster.store.entries("jobs/");
    let damaged = entries[0].key.clone();
    put(&cluster, &damaged, value).await;
    put(&cluster, &damaged.replace("build", "odd"), value).await;
    put(&cluster, &damaged.replace("build", "no name"), value).await;
    cluster.submit("later", 1, "").await;
    cluster.wait_for("later", JobState::Running).await;
    sleep(cluster.task_lease * 2).await;
    assert_eq!(cluster.running_tasks().len(), 3);
    scheduler.stop().await;
    let _next = cluster.scheduler("e2");
    cluster.submit("last", 1, "").await;
    cluster.wait_for("last", JobState::Running).await;
}
