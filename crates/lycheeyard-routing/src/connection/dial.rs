use super::Connection;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    sync::OwnedSemaphorePermit,
    time::{Instant, timeout_at},
};

/// The reason why no connection was opened.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum DialError {
    /// All connections that this instance may have to the upstream are in use.
    #[error("all connections are in use")]
    LimitReached,
    /// No new connection to the upstream is allowed any more.
    #[error("no new connection is allowed")]
    NotAllowed,
    /// The upstream refused the connection or did not accept it in time.
    #[error("the upstream is unreachable")]
    Unreachable,
}

/// Opens a connection, which holds `permit` until its socket is closed.
pub(super) async fn dial(
    address: SocketAddr,
    permit: OwnedSemaphorePermit,
    deadline: Instant,
) -> Result<Connection, DialError> {
    let opened_at = Instant::now();
    let connect = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    };
    let Ok(Ok(stream)) = timeout_at(deadline, connect).await else {
        return Err(DialError::Unreachable);
    };
    let Ok((sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(DialError::Unreachable);
    };
    let driver = tokio::spawn(async move {
        // The request that uses the connection gets the error.
        let _ = driver.await;
        drop(permit);
    });
    Ok(Connection::new(sender, driver.abort_handle(), opened_at))
}
