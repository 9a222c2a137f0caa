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

/// Why no connection could be opened.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum DialError {
    /// All connections that this instance may have to the upstream are in use.
    #[error("all connections are in use")]
    NoneFree,
    /// The upstream refused or did not answer.
    #[error("the upstream cannot be reached")]
    Unreachable,
}

/// Opens a connection; `place` counts it until its socket is closed.
pub(super) async fn dial(
    address: SocketAddr,
    place: OwnedSemaphorePermit,
    until: Instant,
) -> Result<Connection, DialError> {
    let opened_at = Instant::now();
    let connect = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    };
    let Ok(Ok(stream)) = timeout_at(until, connect).await else {
        return Err(DialError::Unreachable);
    };
    let Ok((sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(DialError::Unreachable);
    };
    let driver = tokio::spawn(async move {
        let _ = driver.await;
        drop(place);
    });
    Ok(Connection::new(sender, driver.abort_handle(), opened_at))
}
