use super::Shared;
use lycheeyard_peer::{PeerView, RELAYS_PER_DATA_CENTRE, is_relay};
use lycheeyard_protocol::{DataCentreId, Instance, InstanceRole, platform::InstanceList};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;
use tracing::debug;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A regular round skips a peer whose last heartbeat is more recent than this.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(900);
/// The gap for a peer in another data centre. It is longer, since announcements do not wait for a regular round.
const MIN_REMOTE_GAP: Duration = Duration::from_millis(1_900);
/// The minimum time between two rounds, so that several announcements share one round.
const MIN_ROUND_GAP: Duration = Duration::from_millis(10);

/// Exchanges heartbeats with all instances of this data centre and, as a relay, with the relays of other
/// data centres.
pub(super) async fn send_heartbeats(
    shared: Shared,
    mut list: watch::Receiver<InstanceList>,
    stop: CancellationToken,
) {
    let mut announcements = shared.membership.announcements();
    let mut is_urgent = false;
    loop {
        send_round(&shared, &list.borrow_and_update(), is_urgent);
        sleep(MIN_ROUND_GAP).await;
        let jitter: f64 = rand::random_range(0.9..1.1);
        tokio::select! {
            () = stop.cancelled() => return,
            _ = announcements.changed() => is_urgent = true,
            _ = list.changed() => is_urgent = false,
            () = sleep(HEARTBEAT_INTERVAL.mul_f64(jitter)) => is_urgent = false,
        }
    }
}

/// Exchanges a heartbeat with every listed instance that is not live, so that a status report is complete.
pub(crate) async fn poll_silent_peers(shared: &Shared, list: &InstanceList) {
    let live = shared.membership.live_peers();
    let is_live = |name: &str| {
        live.iter()
            .any(|view| view.report.instance.as_str() == name)
    };
    let mut calls = JoinSet::new();
    for (instance, address) in listed_peers(shared, list) {
        if !is_live(&instance.name) {
            calls.spawn(exchange_heartbeat(
                shared.clone(),
                instance.name.clone(),
                address,
            ));
        }
    }
    calls.join_all().await;
}

fn send_round(shared: &Shared, list: &InstanceList, is_urgent: bool) {
    let live: BTreeMap<String, PeerView> = shared
        .membership
        .live_peers()
        .into_iter()
        .map(|view| (view.report.instance.to_string(), view))
        .collect();
    let targets = heartbeat_targets(shared, list);
    shared
        .connections
        .retain(|address| targets.values().any(|target| *target == address));
    for (name, address) in targets {
        if is_urgent || is_due(live.get(&name), &shared.settings.data_centre) {
            tokio::spawn(exchange_heartbeat(shared.clone(), name, address));
        }
    }
}

/// Whether a regular round includes a peer.
///
/// A heartbeat exchange updates both instances, so a peer with a recent heartbeat is skipped.
fn is_due(view: Option<&PeerView>, here: &DataCentreId) -> bool {
    let Some(view) = view else { return true };
    let gap = if view.report.data_centre == *here {
        MIN_HEARTBEAT_GAP
    } else {
        MIN_REMOTE_GAP
    };
    view.last_heartbeat_at + gap <= Instant::now()
}

async fn exchange_heartbeat(shared: Shared, name: String, address: SocketAddr) {
    let report = shared.peer_report();
    let hears_callee = shared.membership.has_recent_heartbeat_from(&name);
    let sent = shared
        .connections
        .heartbeat(address, report, hears_callee, &shared.membership);
    if let Err(err) = sent.await {
        debug!("peer: heartbeat failed: {err}");
    }
}

/// The addresses to send heartbeats to, by instance name.
///
/// All peers in this data centre are included. Of each other data centre, a relay chooses the first
/// [`RELAYS_PER_DATA_CENTRE`] instances by name and skips those that are suspect after a failed call. Other
/// instances choose none.
fn heartbeat_targets(shared: &Shared, list: &InstanceList) -> BTreeMap<String, SocketAddr> {
    let settings = &shared.settings;
    let is_own_relay = is_relay(
        &shared.membership,
        &settings.instance,
        &settings.data_centre,
    );
    let mut chosen_counts: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
    let mut targets = BTreeMap::new();
    for (instance, address) in listed_peers(shared, list) {
        if instance.data_centre != settings.data_centre {
            let count = chosen_counts.entry(&instance.data_centre).or_default();
            if !is_own_relay
                || *count == RELAYS_PER_DATA_CENTRE
                || shared.connections.is_suspect(address)
            {
                continue;
            }
            *count += 1;
        }
        targets.insert(instance.name.clone(), address);
    }
    targets
}

/// The other listed entry instances that have a peer address, in the order of their names.
fn listed_peers<'a>(shared: &Shared, list: &'a InstanceList) -> Vec<(&'a Instance, SocketAddr)> {
    let own = shared.settings.instance.as_str();
    let mut peers: Vec<_> = list
        .instances
        .iter()
        .filter(|instance| instance.role == InstanceRole::Entry && instance.name != own)
        .filter_map(|instance| Some((instance, instance.peer_address?)))
        .collect();
    peers.sort_by(|a, b| a.0.name.cmp(&b.0.name));
    peers
}
