use super::PeerDirectory;
use crate::{
    keys,
    ports::{CommitOutcome, Item, KeyValueStore, KvError, LeaseId, Renewal, Transaction},
};
use lycheeyard_clients::Backoff;
use lycheeyard_protocol::InstanceId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

/// How long an instance stays registered after it has last renewed its lease.
const LEASE_TTL: Duration = Duration::from_secs(60);
/// The time between two renewals, after each of which the other instances are listed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(15);
/// The time to the second listing. Instances that start together are registered by then.
const FIRST_INTERVAL: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// How an instance is registered, so that its peers can reach it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerRegistration {
    /// The instance.
    pub instance: InstanceId,
    /// The address at which it answers queries of its peers.
    pub address: SocketAddr,
}

/// The record of an instance in the store.
#[derive(Debug, Deserialize, Serialize)]
struct PeerRecord {
    address: SocketAddr,
}

/// Keeps this instance registered and `directory` up to date, until `stop` is cancelled.
pub async fn keep_registered<S: KeyValueStore>(
    store: S,
    registration: PeerRegistration,
    directory: PeerDirectory,
    stop: CancellationToken,
) {
    let mut lease = None;
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut next_interval = FIRST_INTERVAL;
    while !stop.is_cancelled() {
        let refreshed = refresh(&store, &registration, &directory, &mut lease);
        let is_refreshed = tokio::select! {
            () = stop.cancelled() => break,
            refreshed = refreshed => refreshed.is_ok(),
        };
        let pause = async {
            if is_refreshed {
                backoff.reset();
                sleep(next_interval).await;
            } else {
                backoff.wait().await;
            }
        };
        tokio::select! {
            () = stop.cancelled() => break,
            () = pause => {}
        }
        if is_refreshed {
            next_interval = REFRESH_INTERVAL;
        }
    }
    if let Some(lease) = lease
        && let Err(err) = store
            .revoke_lease(lease, Instant::now() + CALL_TIMEOUT)
            .await
    {
        info!(%err, "peers: the registration is left to expire");
    }
}

/// Renews the registration, or registers again if it has expired, and lists the other instances.
async fn refresh<S: KeyValueStore>(
    store: &S,
    registration: &PeerRegistration,
    directory: &PeerDirectory,
    lease: &mut Option<LeaseId>,
) -> Result<(), KvError> {
    if let Some(held) = *lease
        && store
            .renew_lease(held, Instant::now() + CALL_TIMEOUT)
            .await?
            == Renewal::Ended
    {
        *lease = None;
    }
    if lease.is_none() {
        *lease = register(store, registration).await?;
    }
    directory.replace(list(store, &registration.instance).await?);
    Ok(())
}

/// Registers this instance under a new lease. Returns `None` if it is unclear whether it is registered.
async fn register<S: KeyValueStore>(
    store: &S,
    registration: &PeerRegistration,
) -> Result<Option<LeaseId>, KvError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let (lease, _) = store.grant_lease(LEASE_TTL, deadline).await?;
    let record = PeerRecord {
        address: registration.address,
    };
    let key = keys::instance(&registration.instance);
    let value = match serde_json::to_vec(&record) {
        Ok(value) => value,
        Err(err) => {
            warn!(%err, "peers: the record of this instance cannot be encoded");
            return Ok(None);
        }
    };
    let transaction = Transaction {
        writes: vec![(key, value, Some(lease))],
        ..Transaction::default()
    };
    let outcome = store.commit(&transaction, Instant::now() + CALL_TIMEOUT);
    Ok(matches!(outcome.await?, CommitOutcome::Done(_)).then_some(lease))
}

/// Lists the registered instances except `own`.
async fn list<S: KeyValueStore>(
    store: &S,
    own: &InstanceId,
) -> Result<BTreeMap<InstanceId, SocketAddr>, KvError> {
    let mut peers = BTreeMap::new();
    let mut after: Option<String> = None;
    loop {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let page = store
            .range(keys::INSTANCES, after.as_deref(), deadline)
            .await?;
        peers.extend(page.items.iter().filter_map(read_peer));
        after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || after.is_none() {
            break;
        }
    }
    peers.remove(own);
    Ok(peers)
}

fn read_peer(item: &Item) -> Option<(InstanceId, SocketAddr)> {
    let instance = keys::parse_instance(&item.key)?;
    match serde_json::from_slice::<PeerRecord>(&item.value) {
        Ok(record) => Some((instance, record.address)),
        Err(err) => {
            warn!(key = %item.key, %err, "peers: the record of an instance cannot be read");
            None
        }
    }
}
