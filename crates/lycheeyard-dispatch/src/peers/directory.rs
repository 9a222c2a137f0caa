use lycheeyard_protocol::InstanceId;
use rand::seq::SliceRandom;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// After no peer could answer a query, none is asked for this long, so that an outage of the store for all instances does not
/// multiply the calls between them.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(300);

/// The other instances as this one knows them. It keeps them while the store cannot be read. All clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    known: Arc<Mutex<KnownPeers>>,
}

#[derive(Debug, Default)]
struct KnownPeers {
    addresses: BTreeMap<InstanceId, SocketAddr>,
    /// The peer that answered last. It is asked first, since it can use the store.
    last_answering: Option<SocketAddr>,
    /// No peer is asked before this.
    paused_until: Option<Instant>,
}

impl PeerDirectory {
    /// Replaces the known peers.
    pub fn replace(&self, addresses: BTreeMap<InstanceId, SocketAddr>) {
        self.lock().addresses = addresses;
    }

    /// Returns the addresses of all peers in the order in which they are to be asked; none during the pause after a failure.
    pub(super) fn in_order(&self) -> Vec<SocketAddr> {
        let known = self.lock();
        if known
            .paused_until
            .is_some_and(|until| until > Instant::now())
        {
            return Vec::new();
        }
        let mut addresses: Vec<SocketAddr> = known.addresses.values().copied().collect();
        addresses.shuffle(&mut rand::rng());
        // Stable, so that the others keep their random order.
        addresses.sort_by_key(|address| Some(*address) != known.last_answering);
        addresses
    }

    /// Notes that a peer has answered. Returns whether another one answered before.
    pub(super) fn record_answer(&self, address: SocketAddr) -> bool {
        let mut known = self.lock();
        known.paused_until = None;
        known.last_answering.replace(address) != Some(address)
    }

    /// Notes that no peer could answer a query.
    pub(super) fn record_failure(&self) {
        let mut known = self.lock();
        known.last_answering = None;
        known.paused_until = Some(Instant::now() + PAUSE_AFTER_FAILURE);
    }

    fn lock(&self) -> MutexGuard<'_, KnownPeers> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
