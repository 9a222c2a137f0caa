use crate::{PeerError, service::PeerClient};
use std::{future::Future, net::SocketAddr};
use tarpc::client::RpcError;
use tokio::time::{Instant, timeout_at};

/// Sends one call to a peer on the client that `connect` returns.
///
/// # Errors
/// Fails when there is no connection, or when the peer does not answer before `deadline`.
pub(crate) async fn call_peer<T, Fut>(
    address: SocketAddr,
    deadline: Instant,
    connect: impl Future<Output = Result<PeerClient, PeerError>>,
    send: impl FnOnce(PeerClient) -> Fut,
) -> Result<T, PeerError>
where
    Fut: Future<Output = Result<T, RpcError>>,
{
    let exchange = async {
        let client = connect.await?;
        let answer = send(client).await;
        answer.map_err(|source| PeerError::Call { address, source })
    };
    timeout_at(deadline, exchange)
        .await
        .unwrap_or(Err(PeerError::Timeout(address)))
}
