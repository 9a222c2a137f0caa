use super::{ClaimStatus, UsageReport};
use crate::{
    PeerError,
    service::{PeerClient, connect_peer},
};
use lycheeyard_protocol::Nonce;
use std::{future::Future, net::SocketAddr};
use tarpc::{client::RpcError, context};
use tokio::time::{Instant, timeout_at};

/// Exchanges usage reports with a peer on a new connection.
///
/// # Errors
/// Fails when the peer is unreachable or does not answer before `deadline`.
pub async fn exchange_usage(
    address: SocketAddr,
    report: UsageReport,
    deadline: Instant,
) -> Result<UsageReport, PeerError> {
    call(address, deadline, |client| async move {
        client.request_pulse(context::current(), report).await
    })
    .await
}

/// Queries a peer for the status of a claim that the peer made.
///
/// # Errors
/// Fails when the peer is unreachable or does not answer before `deadline`.
pub async fn query_claim_status(
    address: SocketAddr,
    nonce: Nonce,
    deadline: Instant,
) -> Result<ClaimStatus, PeerError> {
    call(address, deadline, |client| async move {
        client.claim_status(context::current(), nonce).await
    })
    .await
}

async fn call<T, Fut>(
    address: SocketAddr,
    deadline: Instant,
    send: impl FnOnce(PeerClient) -> Fut,
) -> Result<T, PeerError>
where
    Fut: Future<Output = Result<T, RpcError>>,
{
    let exchange = async {
        let client = connect_peer(address).await?;
        let answer = send(client).await;
        answer.map_err(|source| PeerError::Call { address, source })
    };
    timeout_at(deadline, exchange)
        .await
        .map_err(|_| PeerError::Timeout(address))?
}
