use super::{ClaimStatus, UsageReport};
use crate::{PeerError, call::call_peer, service::connect_peer};
use lycheeyard_protocol::Nonce;
use std::net::SocketAddr;
use tarpc::context;
use tokio::time::Instant;

/// Exchanges usage reports with a peer on a new connection.
///
/// # Errors
/// Fails when the peer is unreachable or does not answer before `deadline`.
pub async fn exchange_usage(
    address: SocketAddr,
    report: UsageReport,
    deadline: Instant,
) -> Result<UsageReport, PeerError> {
    call_peer(
        address,
        deadline,
        connect_peer(address),
        |client| async move { client.request_pulse(context::current(), report).await },
    )
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
    call_peer(
        address,
        deadline,
        connect_peer(address),
        |client| async move { client.claim_status(context::current(), nonce).await },
    )
    .await
}
