use super::Shared;
use lycheeyard_peer::is_relay;
use lycheeyard_protocol::{Epoch, InstanceId, Revision, platform::InstanceList};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

const POLL_INTERVAL: Duration = Duration::from_secs(2);
const PULL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long the store holds a watch open when there is no change.
const WATCH_DURATION: Duration = Duration::from_secs(10);
/// How long after the end of a watch the store may take to answer before the connection counts as broken.
const WATCH_GRACE: Duration = Duration::from_secs(2);
/// The delay after a failed watch, and between two checks whether this instance is a relay.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The delay after a failed read at the start of a scheduler term. No task starts before the read succeeds.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Pulls the configuration from peers that have a newer revision, when one is announced and at an interval.
pub(super) async fn follow_peers(
    shared: Shared,
    list: watch::Receiver<InstanceList>,
    stop: CancellationToken,
) {
    let mut newest = shared.membership.newest_revision();
    loop {
        pull_from_peers(&shared, &list).await;
        tokio::select! {
            () = stop.cancelled() => return,
            _ = newest.changed() => {}
            () = sleep(jittered(POLL_INTERVAL)) => {}
        }
    }
}

/// Polls the store at an interval, since a watch can stall and peers can be unreachable.
pub(super) async fn poll_store(shared: Shared, stop: CancellationToken) {
    loop {
        if should_poll_store(&shared) {
            pull_from_store(&shared).await;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(jittered(POLL_INTERVAL)) => {}
        }
    }
}

/// Watches the store for new tickets while this instance is a relay of its data centre.
pub(super) async fn watch_store(shared: Shared, stop: CancellationToken) {
    let mut version = 0;
    let watching = async {
        loop {
            if !is_own_relay(&shared) {
                sleep(jittered(WATCH_RETRY_DELAY)).await;
                continue;
            }
            let deadline = Instant::now() + WATCH_DURATION + WATCH_GRACE;
            match shared
                .tickets
                .watch(version, WATCH_DURATION, deadline)
                .await
            {
                Ok(Some((next_version, revision))) => {
                    version = next_version;
                    if revision > shared.configuration().revision {
                        pull_from_store(&shared).await;
                    }
                }
                Ok(None) => {}
                Err(err) => {
                    debug!("config: watch of the store failed: {err}");
                    sleep(jittered(WATCH_RETRY_DELAY)).await;
                }
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = watching => {}
    }
}

/// Reads the configuration from the store at the start of each term in which this instance holds the scheduler lease, and
/// publishes the epoch of the term once it has.
pub(super) async fn confirm_for_scheduler(
    shared: Shared,
    confirmed: watch::Sender<Option<Epoch>>,
    stop: CancellationToken,
) {
    let mut status = shared.scheduler.clone();
    let confirming = async {
        loop {
            let held = status.borrow_and_update().held.map(|held| held.epoch);
            if held.is_none() || *confirmed.borrow() == held {
                if status.changed().await.is_err() {
                    return;
                }
            } else if pull_from_store(&shared).await {
                confirmed.send_replace(held);
            } else {
                sleep(jittered(CONFIRM_RETRY_DELAY)).await;
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = confirming => {}
    }
}

/// Reads the store and applies a newer configuration. Returns whether the store answered.
pub(crate) async fn pull_from_store(shared: &Shared) -> bool {
    let current = (*shared.configuration()).clone();
    match shared
        .tickets
        .pull(current, Instant::now() + PULL_TIMEOUT)
        .await
    {
        Ok(update) => {
            let advanced = shared.config.advance(update);
            announce_if_advanced(shared, advanced, "the store");
            true
        }
        Err(err) => {
            debug!("config: pull from the store failed: {err}");
            false
        }
    }
}

/// Pulls tickets from each live peer whose revision is newer than that of this instance.
async fn pull_from_peers(shared: &Shared, list: &watch::Receiver<InstanceList>) {
    let mut ahead = peers_ahead(shared);
    // Starts at a random peer, so that instances that receive the same announcement spread their pulls
    // over the peers.
    let offset = rand::random_range(0..ahead.len().max(1));
    ahead.rotate_left(offset);
    for (instance, revision) in ahead {
        let current = shared.configuration().revision;
        if revision <= current {
            continue;
        }
        let Some(address) = peer_address(&list.borrow(), &instance) else {
            continue;
        };
        match shared.connections.tickets_after(address, current).await {
            Ok(Some(update)) => match shared.config.apply_peer_update(update) {
                Ok(advanced) => announce_if_advanced(shared, advanced, instance.as_str()),
                Err(err) => debug!("config: could not apply the tickets from {instance}: {err}"),
            },
            Ok(None) => {}
            Err(err) => debug!("config: pull of tickets from {instance} failed: {err}"),
        }
    }
}

fn announce_if_advanced(shared: &Shared, advanced: bool, source: &str) {
    if advanced {
        let revision = shared.configuration().revision;
        info!("config: revision {revision} in force, from {source}");
        shared.membership.announce();
    }
}

fn peers_ahead(shared: &Shared) -> Vec<(InstanceId, Revision)> {
    let current = shared.configuration().revision;
    let live = shared.membership.live_peers();
    live.into_iter()
        .filter(|view| view.report.revision > current)
        .map(|view| (view.report.instance, view.report.revision))
        .collect()
}

fn peer_address(list: &InstanceList, instance: &InstanceId) -> Option<SocketAddr> {
    let mut listed = list.instances.iter();
    let found = listed.find(|listed| listed.name == instance.as_str())?;
    found.peer_address
}

/// Whether this instance polls the store.
///
/// Normally only the relays do, on behalf of their data centre. An instance that has no configuration yet, or
/// is behind its peers, also polls.
fn should_poll_store(shared: &Shared) -> bool {
    is_own_relay(shared)
        || shared.configuration().revision == Revision(0)
        || !peers_ahead(shared).is_empty()
}

fn is_own_relay(shared: &Shared) -> bool {
    let settings = &shared.settings;
    is_relay(
        &shared.membership,
        &settings.instance,
        &settings.data_centre,
    )
}

fn jittered(duration: Duration) -> Duration {
    let jitter: f64 = rand::random_range(0.8..1.2);
    duration.mul_f64(jitter)
}
