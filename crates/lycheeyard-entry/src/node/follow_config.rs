use super::Shared;
use lycheeyard_peer::is_relay;
use lycheeyard_protocol::{InstanceId, Revision, platform::InstanceList};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

const POLL_EVERY: Duration = Duration::from_secs(2);
const PULL: Duration = Duration::from_millis(1500);
const WATCH: Duration = Duration::from_secs(10);
/// How long after its end a watch may stay unanswered before its connection counts as silent.
const WATCH_GRACE: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(500);

/// Follows the configuration from peers that are ahead.
pub(super) async fn follow_peers(
    shared: Shared,
    list: watch::Receiver<InstanceList>,
    stop: CancellationToken,
) {
    let mut heard = shared.membership.newest_revision();
    loop {
        pull_from_peers(&shared, &list).await;
        tokio::select! {
            () = stop.cancelled() => return,
            _ = heard.changed() => {}
            () = sleep(jittered(POLL_EVERY)) => {}
        }
    }
}

/// Reads the store from time to time, since a watch can go silent and peers can be out of reach.
pub(super) async fn poll_store(shared: Shared, stop: CancellationToken) {
    loop {
        if reads_store(&shared) {
            pull_from_store(&shared).await;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(jittered(POLL_EVERY)) => {}
        }
    }
}

/// Waits at the store for new tickets while this instance is a relay of its data centre.
pub(super) async fn watch_store(shared: Shared, stop: CancellationToken) {
    let mut version = 0;
    let watching = async {
        loop {
            if !is_own_relay(&shared) {
                sleep(jittered(PAUSE)).await;
                continue;
            }
            let deadline = Instant::now() + WATCH + WATCH_GRACE;
            match shared.tickets.watch(version, WATCH, deadline).await {
                Ok(Some((seen, revision))) => {
                    version = seen;
                    if revision > shared.configuration().revision {
                        pull_from_store(&shared).await;
                    }
                }
                Ok(None) => {}
                Err(err) => {
                    debug!("config: watch broken off: {err}");
                    sleep(jittered(PAUSE)).await;
                }
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = watching => {}
    }
}

/// Reads the store and puts a newer configuration in force.
pub(crate) async fn pull_from_store(shared: &Shared) {
    let known = (*shared.configuration()).clone();
    match shared.tickets.pull(known, Instant::now() + PULL).await {
        Ok(update) => {
            let advanced = shared.config.advance(update);
            announce(shared, advanced, "the store");
        }
        Err(err) => debug!("config: not pulled: {err}"),
    }
}

/// Asks the peers that are ahead until none is.
async fn pull_from_peers(shared: &Shared, list: &watch::Receiver<InstanceList>) {
    let mut ahead = peers_ahead(shared);
    // Instances that hear the same news ask different peers.
    let turn = rand::random_range(0..ahead.len().max(1));
    ahead.rotate_left(turn);
    for (instance, revision) in ahead {
        let known = shared.configuration().revision;
        if revision <= known {
            continue;
        }
        let Some(address) = peer_address(&list.borrow(), &instance) else {
            continue;
        };
        match shared.connections.tickets_after(address, known).await {
            Ok(Some(update)) => match shared.config.apply_peer_update(update) {
                Ok(advanced) => announce(shared, advanced, instance.as_str()),
                Err(err) => debug!("config: tickets of {instance} not applied: {err}"),
            },
            Ok(None) => {}
            Err(err) => debug!("config: {instance} gave no tickets: {err}"),
        }
    }
}

fn announce(shared: &Shared, advanced: bool, source: &str) {
    if advanced {
        let revision = shared.configuration().revision;
        info!("config: revision {revision} in force, from {source}");
        shared.membership.announce();
    }
}

fn peers_ahead(shared: &Shared) -> Vec<(InstanceId, Revision)> {
    let known = shared.configuration().revision;
    let live = shared.membership.live_peers();
    live.into_iter()
        .filter(|view| view.report.revision > known)
        .map(|view| (view.report.instance, view.report.revision))
        .collect()
}

fn peer_address(list: &InstanceList, instance: &InstanceId) -> Option<SocketAddr> {
    let mut listed = list.instances.iter();
    let found = listed.find(|listed| listed.name == instance.as_str())?;
    found.peer_address
}

/// The relays read for the rest; an instance without a configuration, or one that does not catch up with
/// its peers, also looks for itself.
fn reads_store(shared: &Shared) -> bool {
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
