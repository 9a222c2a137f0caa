use super::PeerDirectory;
use crate::metrics::{RelayOutcome, record_relay};
use std::{future::Future, net::SocketAddr, time::Duration};
use tokio::time::Instant;
use tracing::{info, warn};

/// The maximum number of peers that are asked about one query.
const MAX_PEERS: usize = 12;
/// How long a peer may take to answer; there is time to ask others before the caller's deadline.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// What a peer says to a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerReply<R> {
    /// It has answered.
    Answered(R),
    /// It cannot answer now.
    CannotAnswer,
    /// It was not reached, or gave no answer in time.
    NoAnswer,
}

/// Calls to peers.
pub trait PeerCalls: Send + Sync {
    /// A query, which has no effect and may be asked of several peers.
    type Query: Sync;
    /// The answer to a query.
    type Reply: Send;

    /// Asks the peer at `address`; gives up at `deadline`.
    fn ask(
        &self,
        address: SocketAddr,
        query: &Self::Query,
        deadline: Instant,
    ) -> impl Future<Output = PeerReply<Self::Reply>> + Send;
}

/// Asks peers, one after the other, until one answers a query that this instance cannot answer. Returns `None` if none does before
/// `deadline`, or if none is to be asked now.
pub async fn ask_peers<C: PeerCalls>(
    calls: &C,
    directory: &PeerDirectory,
    query: &C::Query,
    deadline: Instant,
) -> Option<C::Reply> {
    let Some(search) = directory.begin_search(deadline).await else {
        record_relay(RelayOutcome::NoPeer);
        return None;
    };
    let mut has_asked_all = true;
    for &address in search.peers.iter().take(MAX_PEERS) {
        let attempt_deadline = Instant::now() + PEER_TIMEOUT;
        if attempt_deadline > deadline {
            // Too little time for an attempt tells nothing about the peers.
            has_asked_all = false;
            break;
        }
        let reply = calls.ask(address, query, attempt_deadline);
        if let PeerReply::Answered(answer) = reply.await {
            if directory.record_answer(address) {
                info!(peer = %address, "peers: this one answers for this instance");
            }
            record_relay(RelayOutcome::Answered);
            return Some(answer);
        }
    }
    if has_asked_all && directory.record_failure(&search) {
        warn!("peers: none could answer a query");
    }
    record_relay(RelayOutcome::Unanswered);
    None
}
