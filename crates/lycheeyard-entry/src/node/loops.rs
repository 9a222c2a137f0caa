use super::Shared;
use lycheeyard_clients::{HttpInstanceDirectory, InstanceDirectory};
use lycheeyard_protocol::{InstanceRole, platform::InstanceList};
use lycheeyard_scheduler::DataCentreMembers;
use std::{collections::BTreeSet, future::Future, time::Duration};
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

const LIST_EVERY: Duration = Duration::from_millis(500);
const AUDIT_EVERY: Duration = Duration::from_secs(2);
const AUDIT_CALL: Duration = Duration::from_secs(2);
const CALL: Duration = Duration::from_millis(800);

/// Repeats a step until `end` is cancelled.
pub(super) async fn repeat<F, Fut>(every: Duration, end: CancellationToken, mut step: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = ()>,
{
    loop {
        step().await;
        tokio::select! {
            () = end.cancelled() => return,
            () = tokio::time::sleep(every) => {}
        }
    }
}

/// Follows the platform's instance list.
pub(super) async fn follow_list(
    shared: Shared,
    directory: HttpInstanceDirectory,
    list: watch::Sender<InstanceList>,
    stop: CancellationToken,
) {
    repeat(LIST_EVERY, stop, || async {
        match directory.list(Instant::now() + CALL).await {
            Ok(next) => {
                shared.runners.update(&next);
                shared.router.refresh();
                shared.workers.update(&next);
                shared.members.send_replace(members_of(&shared, &next));
                prune_leaving(&shared, &next);
                set_store_share(&shared, &next);
                list.send_replace(next);
            }
            Err(err) => {
                warn!("list: not read: {err}");
                let members = members_of(&shared, &list.borrow());
                shared.members.send_replace(members);
            }
        }
    })
    .await;
}

/// Takes the audit trail to the store, once more after the end.
pub(super) async fn write_audit(shared: Shared, stop: CancellationToken) {
    repeat(AUDIT_EVERY, stop, || write_audit_batch(&shared)).await;
    write_audit_batch(&shared).await;
}

async fn write_audit_batch(shared: &Shared) {
    let written = shared.audit_log.flush(Instant::now() + AUDIT_CALL);
    if let Err(err) = written.await {
        debug!("audit: not written yet: {err}");
    }
}

/// What the list and the heartbeats say of the other instances of this data centre.
fn members_of(shared: &Shared, list: &InstanceList) -> DataCentreMembers {
    let here = &shared.settings.data_centre;
    let peers = shared.membership.live_peers();
    let peers: Vec<_> = peers
        .iter()
        .map(|view| &view.report)
        .filter(|report| report.data_centre == *here)
        .collect();
    let own = shared.settings.instance.as_str();
    let mut listed = list.instances.iter();
    DataCentreMembers {
        live: peers.iter().map(|peer| peer.instance.clone()).collect(),
        peer_holds_lease: peers.iter().any(|peer| peer.scheduler_epoch.is_some()),
        others_listed: listed.any(|instance| {
            instance.role == InstanceRole::Entry
                && instance.data_centre == *here
                && instance.name != own
        }),
    }
}

/// Forgets the marks of runners that the list no longer shows in the marked life.
fn prune_leaving(shared: &Shared, list: &InstanceList) {
    shared.membership.prune_leaving(|marked| {
        let mut instances = list.instances.iter();
        instances.any(|instance| {
            instance.role == InstanceRole::Runner
                && instance.name == marked.runner.as_str()
                && instance.incarnation <= marked.incarnation
        })
    });
}

/// Sets this instance's share of the store's rates by the listed fleet.
fn set_store_share(shared: &Shared, list: &InstanceList) {
    let entries = list
        .instances
        .iter()
        .filter(|instance| instance.role == InstanceRole::Entry);
    let data_centres: BTreeSet<_> = entries.clone().map(|entry| &entry.data_centre).collect();
    let is_scheduler = shared.scheduler.borrow().held.is_some();
    shared
        .store
        .set_share(entries.count(), data_centres.len(), is_scheduler);
}
