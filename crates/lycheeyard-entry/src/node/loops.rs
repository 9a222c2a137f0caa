use super::Shared;
use lycheeyard_peer::exchange_heartbeat;
use lycheeyard_platform::{HttpInstanceDirectory, InstanceDirectory};
use lycheeyard_protocol::{InstanceRole, platform::InstanceList};
use lycheeyard_scheduler::DataCentreMembers;
use std::{future::Future, net::SocketAddr, time::Duration};
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};

const CONFIG_EVERY: Duration = Duration::from_millis(500);
const LIST_EVERY: Duration = Duration::from_millis(500);
const HEARTBEAT_EVERY: Duration = Duration::from_millis(500);
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

/// Follows the configuration in the store.
pub(super) async fn follow_config(shared: Shared, stop: CancellationToken) {
    repeat(CONFIG_EVERY, stop, || async {
        let known = shared.configuration();
        let pulled = shared.tickets.pull((*known).clone(), Instant::now() + CALL);
        match pulled.await {
            Ok(next) if next.revision > known.revision => {
                info!("config: revision {} in force", next.revision);
                shared.advance(next);
            }
            Ok(_) => {}
            Err(err) => debug!("config: not pulled: {err}"),
        }
    })
    .await;
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
                shared.workers.update(&next);
                shared.members.send_replace(members_of(&shared, &next));
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

/// Exchanges heartbeats with every listed entry instance.
pub(super) async fn send_heartbeats(
    shared: Shared,
    list: watch::Receiver<InstanceList>,
    stop: CancellationToken,
) {
    repeat(HEARTBEAT_EVERY, stop, || async {
        let peers = peer_addresses(&shared, &list.borrow());
        for address in peers {
            let shared = shared.clone();
            tokio::spawn(async move {
                let report = shared.peer_report();
                if let Err(err) = exchange_heartbeat(address, report, &shared.membership).await {
                    debug!("peer: heartbeat failed: {err}");
                }
            });
        }
    })
    .await;
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

fn peer_addresses(shared: &Shared, list: &InstanceList) -> Vec<SocketAddr> {
    let own = shared.settings.instance.as_str();
    let others = list
        .instances
        .iter()
        .filter(|instance| instance.role == InstanceRole::Entry && instance.name != own);
    others
        .filter_map(|instance| instance.peer_address)
        .collect()
}
