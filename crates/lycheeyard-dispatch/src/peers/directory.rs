use lycheeyard_protocol::InstanceId;
use rand::seq::SliceRandom;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

/// After no peer could answer a query, none is asked for this long, so that an outage of the store for all instances does not
/// multiply the calls between them.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(300);

/// How many queries may search for a peer that can answer at a time. Queries that know one do not wait.
const MAX_SEARCHES: usize = 2;

/// The other instances as this one knows them. It keeps them while the store cannot be read. All clones share the same state.
#[derive(Clone, Debug)]
pub struct PeerDirectory {
    known: Arc<Mutex<KnownPeers>>,
    searches: Arc<Semaphore>,
}

/// The peers that a query may ask.
#[derive(Debug)]
pub(super) struct PeerSearch {
    /// The addresses in the order in which they are to be asked.
    pub peers: Vec<SocketAddr>,
    /// How many answers were recorded before.
    answers: u64,
    /// Held while no peer is known to answer.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Default for PeerDirectory {
    fn default() -> Self {
        Self {
            known: Arc::default(),
            searches: Arc::new(Semaphore::new(MAX_SEARCHES)),
        }
    }
}

#[derive(Debug, Default)]
struct KnownPeers {
    addresses: BTreeMap<InstanceId, SocketAddr>,
    /// The peer that answered last. It is asked first, since it can use the store.
    last_answering: Option<SocketAddr>,
    /// How many answers were recorded.
    answers: u64,
    /// No peer is asked before this.
    paused_until: Option<Instant>,
}

impl PeerDirectory {
    /// Replaces the known peers.
    pub fn replace(&self, addresses: BTreeMap<InstanceId, SocketAddr>) {
        self.lock().addresses = addresses;
    }

    /// Returns the peers that a query may ask; `None` if none is known, during the pause after a failure, or if too many other queries
    /// search for a peer until `deadline`.
    pub(super) async fn begin_search(&self, deadline: Instant) -> Option<PeerSearch> {
        let permit = if self.lock().last_answering.is_some() {
            None
        } else {
            let permit = Arc::clone(&self.searches).acquire_owned();
            Some(timeout_at(deadline, permit).await.ok()?.ok()?)
        };
        let known = self.lock();
        let is_paused = known
            .paused_until
            .is_some_and(|until| until > Instant::now());
        if is_paused || known.addresses.is_empty() {
            return None;
        }
        let mut peers: Vec<SocketAddr> = known.addresses.values().copied().collect();
        peers.shuffle(&mut rand::rng());
        // Stable, so that the others keep their random order.
        peers.sort_by_key(|address| Some(*address) != known.last_answering);
        Some(PeerSearch {
            peers,
            answers: known.answers,
            _permit: permit,
        })
    }

    /// Notes that a peer has answered. Returns whether another one answered before.
    pub(super) fn record_answer(&self, address: SocketAddr) -> bool {
        let mut known = self.lock();
        known.paused_until = None;
        known.answers += 1;
        known.last_answering.replace(address) != Some(address)
    }

    /// Notes that no peer could answer a query. Returns whether that holds for others too: no peer has answered another query since the
    /// search began.
    pub(super) fn record_failure(&self, search: &PeerSearch) -> bool {
        let mut known = self.lock();
        if known.answers != search.answers {
            return false;
        }
        known.last_answering = None;
        known.paused_until = Some(Instant::now() + PAUSE_AFTER_FAILURE);
        true
    }

    fn lock(&self) -> MutexGuard<'_, KnownPeers> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
