use super::{JsonHandler, StandinError, answer::answer};
use crate::Faults;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use lycheeyard_clients::{
    ClientLimits, Connections, ListenerKind, ProcessLimits, WatchedStream, serve_connection,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};
use tokio::net::TcpListener;
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
    let limits = ProcessLimits::default().within_system_limits();
    let connections = Connections::new(limits.request_bytes);
    let graceful = GracefulShutdown::new();
    let open = Arc::new(());
    let serve = |stream| {
        let connection = OpenConnection {
            guard: open.clone(),
            max_open: handler.connection_limit(),
            number: faults.open_connection(),
        };
        let serving = connection.serve(stream, graceful.watcher(), handler.clone(), faults.clone());
        let stop = stop.clone();
        async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = serving => {}
            }
        }
    };
    connections
        .accept_until(
            &listener,
            limits.listener(ListenerKind::Clients),
            stop.cancelled(),
            ClientLimits::default,
            serve,
        )
        .await;
}

/// A connection that counts as open until it is dropped.
struct OpenConnection {
    guard: Arc<()>,
    max_open: Option<usize>,
    number: u64,
}

impl OpenConnection {
    /// Serves the calls on the connection, unless too many are open.
    async fn serve<H: JsonHandler>(
        self,
        stream: WatchedStream,
        watcher: Watcher,
        handler: H,
        faults: Faults,
    ) {
        // The server itself holds one reference more.
        let open = Arc::strong_count(&self.guard) - 1;
        if self.max_open.is_some_and(|max_open| open > max_open) {
            return;
        }
        let number = self.number;
        let respond = move |req| answer(req, handler.clone(), faults.clone(), number);
        serve_connection(stream, watcher, respond).await;
    }
}
