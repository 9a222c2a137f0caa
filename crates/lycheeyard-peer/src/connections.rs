use crate::{
    Membership, PeerError, PeerReport,
    call::call_peer,
    lock::lock,
    service::{PeerClient, connect_peer},
};
use lycheeyard_protocol::Revision;
use lycheeyard_state::PeerUpdate;
use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tarpc::{client::RpcError, context};
use tokio::time::Instant;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
const UPDATE_TIMEOUT: Duration = Duration::from_secs(3);
/// The time for which relay selection skips a peer that did not answer.
const SUSPECT_DURATION: Duration = Duration::from_secs(5);

/// The open connections to peers, one for each peer.
///
/// A connection on which a call fails or times out may be broken, so it is closed and the next call opens a new
/// one.
#[derive(Clone, Default)]
pub struct PeerConnections {
    clients: Arc<Mutex<BTreeMap<SocketAddr, PeerClient>>>,
    suspects: Arc<Mutex<BTreeMap<SocketAddr, Instant>>>,
}

impl std::fmt::Debug for PeerConnections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let open = lock(&self.clients).len();
        f.debug_struct("PeerConnections")
            .field("open", &open)
            .finish_non_exhaustive()
    }
}

impl PeerConnections {
    /// Sends a heartbeat to a peer and records its answer. `receives_from_peer` states whether this instance has
    /// recently received a heartbeat or an answer from the peer.
    ///
    /// # Errors
    /// Fails when the peer is unreachable or does not answer in time.
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        report: PeerReport,
        receives_from_peer: bool,
        membership: &Membership,
    ) -> Result<(), PeerError> {
        let call = |client: PeerClient| async move {
            client
                .heartbeat(context::current(), report, receives_from_peer)
                .await
        };
        let answer = self.call(address, HEARTBEAT_TIMEOUT, call).await?;
        membership.observe_answer(answer);
        Ok(())
    }

    /// Requests the configuration changes that follow a revision; `None` if the peer has no later revision.
    ///
    /// # Errors
    /// Fails when the peer is unreachable or does not answer in time.
    pub async fn tickets_after(
        &self,
        address: SocketAddr,
        revision: Revision,
    ) -> Result<Option<PeerUpdate>, PeerError> {
        let call = |client: PeerClient| async move {
            client.tickets_after(context::current(), revision).await
        };
        self.call(address, UPDATE_TIMEOUT, call).await
    }

    /// Whether the last call to a peer failed within the last 5 seconds.
    #[must_use]
    pub fn is_suspect(&self, address: SocketAddr) -> bool {
        let suspect_until = lock(&self.suspects).get(&address).copied();
        suspect_until.is_some_and(|until| until > Instant::now())
    }

    /// Closes the connections to all but the given peers.
    pub fn retain(&self, mut keep: impl FnMut(SocketAddr) -> bool) {
        lock(&self.clients).retain(|address, _| keep(*address));
        let now = Instant::now();
        lock(&self.suspects).retain(|_, until| *until > now);
    }

    async fn call<T, Fut>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        send: impl FnOnce(PeerClient) -> Fut,
    ) -> Result<T, PeerError>
    where
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + timeout;
        let answer = call_peer(address, deadline, self.client(address), send).await;
        if answer.is_err() {
            lock(&self.clients).remove(&address);
            lock(&self.suspects).insert(address, Instant::now() + SUSPECT_DURATION);
        } else {
            lock(&self.suspects).remove(&address);
        }
        answer
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerClient, PeerError> {
        if let Some(client) = lock(&self.clients).get(&address) {
            return Ok(client.clone());
        }
        let client = connect_peer(address).await?;
        lock(&self.clients).insert(address, client.clone());
        Ok(client)
    }
}
