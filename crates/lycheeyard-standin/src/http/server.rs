use super::{JsonHandler, StandinError, answer::answer};
use crate::Faults;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// A running HTTP server of a stand-in; dropping it stops the server.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    faults: Faults,
    stop: CancellationToken,
}

impl StandinServer {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub async fn start<H: JsonHandler>(handler: H, faults: Faults) -> Result<Self, StandinError> {
        let requested = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start_on(requested, handler, faults).await
    }

    /// Starts a server on the given address.
    ///
    /// # Errors
    /// Fails when the socket cannot be opened.
    pub async fn start_on<H: JsonHandler>(
        requested: SocketAddr,
        handler: H,
        faults: Faults,
    ) -> Result<Self, StandinError> {
        let listen_error = |source| StandinError::Listen {
            address: requested,
            source,
        };
        let listener = TcpListener::bind(requested).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, handler, faults.clone(), stop.clone()));
        Ok(Self {
            address,
            faults,
            stop,
        })
    }

    /// The address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The injected failures.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Stops the server and closes its connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept<H: JsonHandler>(
    listener: TcpListener,
    handler: H,
    faults: Faults,
    stop: CancellationToken,
) {
    let open = Arc::new(());
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        // A caller that could not be accepted sees that itself.
        let Ok((stream, _)) = stream else { continue };
        let over_limit = handler
            .connection_limit()
            .is_some_and(|limit| Arc::strong_count(&open) > limit);
        if over_limit {
            continue;
        }
        let guard = open.clone();
        let connection = serve(stream, handler.clone(), faults.clone());
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection => {}
            }
            drop(guard);
        });
    }
}

async fn serve<H: JsonHandler>(stream: TcpStream, handler: H, faults: Faults) {
    // Without TCP_NODELAY responses may be late, which is no reason to drop the connection.
    let _ = stream.set_nodelay(true);
    let number = faults.open_connection();
    let service = service_fn(move |req| answer(req, handler.clone(), faults.clone(), number));
    // An error means that the caller disconnected, or that a fault dropped the response on purpose.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
