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

const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);
/// A peer that was heard more recently is not called.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(900);
/// The same for a peer in another data centre, whose news come at once anyway.
const MIN_REMOTE_GAP: Duration = Duration::from_millis(1_900);
/// The shortest time between two rounds, so that several news go out together.
const NEWS_GAP: Duration = Duration::from_millis(10);

/// Exchanges heartbeats with all instances of this data centre and, as a relay, with the relays of others.
pub(super) async fn send_heartbeats(
    shared: Shared,
    mut list: watch::Receiver<InstanceList>,
    stop: CancellationToken,
) {
    let mut news = shared.membership.announcements();
    let mut is_urgent = false;
    loop {
        send_round(&shared, &list.borrow_and_update(), is_urgent);
        sleep(NEWS_GAP).await;
        let jitter: f64 = rand::random_range(0.9..1.1);
        tokio::select! {
            () = stop.cancelled() => return,
            _ = news.changed() => is_urgent = true,
            _ = list.changed() => is_urgent = false,
            () = sleep(HEARTBEAT_EVERY.mul_f64(jitter)) => is_urgent = false,
        }
    }
}

/// Asks every listed instance that is not heard of at present, so that a status is whole.
pub(crate) async fn ask_silent_peers(shared: &Shared, list: &InstanceList) {
    let live = shared.membership.live_peers();
    let is_live = |name: &str| {
        live.iter()
            .any(|view| view.report.instance.as_str() == name)
    };
    let mut calls = JoinSet::new();
    for (instance, address) in peers(shared, list) {
        if !is_live(&instance.name) {
            calls.spawn(beat(shared.clone(), instance.name.clone(), address));
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
    let targets = targets(shared, list);
    shared
        .connections
        .retain(|address| targets.values().any(|target| *target == address));
    for (name, address) in targets {
        if is_urgent || is_due(live.get(&name), &shared.settings.data_centre) {
            tokio::spawn(beat(shared.clone(), name, address));
        }
    }
}

/// One exchange serves both ends, so the one that was heard lately need not be called.
fn is_due(view: Option<&PeerView>, here: &DataCentreId) -> bool {
    let Some(view) = view else { return true };
    let gap = if view.report.data_centre == *here {
        MIN_HEARTBEAT_GAP
    } else {
        MIN_REMOTE_GAP
    };
    view.last_heartbeat_at + gap <= Instant::now()
}

async fn beat(shared: Shared, name: String, address: SocketAddr) {
    let report = shared.peer_report();
    let hears = shared.membership.has_recent_heartbeat_from(&name);
    let sent = shared
        .connections
        .heartbeat(address, report, hears, &shared.membership);
    if let Err(err) = sent.await {
        debug!("peer: heartbeat failed: {err}");
    }
}

fn targets(shared: &Shared, list: &InstanceList) -> BTreeMap<String, SocketAddr> {
    let settings = &shared.settings;
    let relays = is_relay(
        &shared.membership,
        &settings.instance,
        &settings.data_centre,
    );
    let mut chosen: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
    let mut targets = BTreeMap::new();
    for (instance, address) in peers(shared, list) {
        if instance.data_centre != settings.data_centre {
            let count = chosen.entry(&instance.data_centre).or_default();
            if !relays || *count == RELAYS_PER_DATA_CENTRE || shared.connections.is_suspect(address)
            {
                continue;
            }
            *count += 1;
        }
        targets.insert(instance.name.clone(), address);
    }
    targets
}

/// The other listed entry instances in the order of their names.
fn peers<'a>(shared: &Shared, list: &'a InstanceList) -> Vec<(&'a Instance, SocketAddr)> {
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
