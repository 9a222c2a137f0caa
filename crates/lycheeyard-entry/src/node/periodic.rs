use super::Shared;
use lycheeyard_clients::{HttpInstanceDirectory, InstanceDirectory};
use lycheeyard_protocol::{InstanceRole, platform::InstanceList};
use lycheeyard_scheduler::DataCentreMembers;
use std::{collections::BTreeSet, future::Future, time::Duration};
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

const LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);
const AUDIT_FLUSH_INTERVAL: Duration = Duration::from_secs(2);
const AUDIT_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
const LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// Runs an action at once and then with a pause of `interval` after each run, until `stop` is cancelled.
pub(super) async fn repeat<F, Fut>(interval: Duration, stop: CancellationToken, mut action: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = ()>,
{
    loop {
        action().await;
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
        }
    }
}

/// Polls the platform's instance list and passes each version on to the components that use it.
///
/// After a failed read, the last list stays in use and only the members are updated, from the heartbeats.
pub(super) async fn follow_list(
    shared: Shared,
    directory: HttpInstanceDirectory,
    list: watch::Sender<InstanceList>,
    stop: CancellationToken,
) {
    repeat(LIST_POLL_INTERVAL, stop, || async {
        match directory.list(Instant::now() + LIST_TIMEOUT).await {
            Ok(next) => {
                shared.runners.update(&next);
                shared.router.refresh();
                shared.workers.update(&next);
                shared
                    .members
                    .send_replace(data_centre_members(&shared, &next));
                prune_leaving(&shared, &next);
                set_store_share(&shared, &next);
                list.send_replace(next);
            }
            Err(err) => {
                warn!("list: could not read the instance list: {err}");
                let members = data_centre_members(&shared, &list.borrow());
                shared.members.send_replace(members);
            }
        }
    })
    .await;
}

/// Writes buffered audit entries to the store at an interval, and once more after `stop` is cancelled.
pub(super) async fn write_audit(shared: Shared, stop: CancellationToken) {
    repeat(AUDIT_FLUSH_INTERVAL, stop, || write_audit_batch(&shared)).await;
    write_audit_batch(&shared).await;
}

async fn write_audit_batch(shared: &Shared) {
    let written = shared.audit_log.flush(Instant::now() + AUDIT_FLUSH_TIMEOUT);
    if let Err(err) = written.await {
        debug!("audit: write to the store failed: {err}");
    }
}

/// The other instances of this data centre, from the instance list and the heartbeats.
fn data_centre_members(shared: &Shared, list: &InstanceList) -> DataCentreMembers {
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

/// Removes the leaving marks of runners that are no longer listed, or are listed only with a newer incarnation.
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

/// Sets this instance's share of the store's rate limits from the number of listed instances and data centres, and
/// from whether it holds the scheduler lease.
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
