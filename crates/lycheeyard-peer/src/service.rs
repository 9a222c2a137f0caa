use crate::{
    ClaimStatus, Membership, PeerReport, RequestHandler, UsageReport,
    codec::{CalleeCodec, caller_codec},
    counted_stream::CountedStream,
};
use futures::StreamExt;
use lycheeyard_clients::{ClientLimits, Connections, ListenerLimits, WatchedStream};
use lycheeyard_protocol::{Nonce, Revision};
use lycheeyard_state::{ConfigFollower, PeerUpdate};
use std::{net::SocketAddr, time::Duration};
use tarpc::{
    context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Json,
};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{codec::Framed, sync::CancellationToken};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a peer may keep a connection open without a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// The number of calls on one connection that are served at a time.
const MAX_CALLS: usize = 128;

#[tarpc::service]
pub(crate) trait Peer {
    /// Exchanges reports with a peer. `hears_callee` states whether the caller has recently received a heartbeat
    /// or an answer from the called peer.
    async fn heartbeat(report: PeerReport, hears_callee: bool) -> PeerReport;

    /// Returns the configuration changes that follow a revision, if there are any.
    async fn tickets_after(revision: Revision) -> Option<PeerUpdate>;

    /// Exchanges usage reports between instances of one data centre.
    async fn request_pulse(pulse: UsageReport) -> UsageReport;

    /// Returns the status of a claim that the called instance made.
    async fn claim_status(nonce: Nonce) -> ClaimStatus;
}

/// The reason why a call to a peer returned no result.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection to the peer could be opened.
    #[error("cannot reach the peer at {address}: {source}")]
    Connect {
        /// The peer's address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The call failed before the peer answered.
    #[error("the peer at {address} did not answer: {source}")]
    Call {
        /// The peer's address.
        address: SocketAddr,
        /// The error of the RPC layer.
        source: tarpc::client::RpcError,
    },
    /// The peer did not answer before the deadline.
    #[error("the peer at {0} did not answer in time")]
    Timeout(SocketAddr),
}

#[derive(Clone)]
struct PeerServer<F, H> {
    membership: Membership,
    config: ConfigFollower,
    own_report: F,
    requests: H,
}

impl<F, H> Peer for PeerServer<F, H>
where
    F: Fn() -> PeerReport + Clone + Send + 'static,
    H: RequestHandler,
{
    async fn heartbeat(
        self,
        _: context::Context,
        report: PeerReport,
        hears_callee: bool,
    ) -> PeerReport {
        self.membership.observe_call(report, hears_callee);
        (self.own_report)()
    }

    async fn tickets_after(self, _: context::Context, revision: Revision) -> Option<PeerUpdate> {
        self.config.update_after(revision)
    }

    async fn request_pulse(self, _: context::Context, pulse: UsageReport) -> UsageReport {
        self.requests.exchange_usage(pulse)
    }

    async fn claim_status(self, _: context::Context, nonce: Nonce) -> ClaimStatus {
        self.requests.claim_status(&nonce)
    }
}

/// A listener for peers, and its limits among all connections that the process accepts.
#[derive(Debug)]
pub struct PeerListener {
    /// The listener.
    pub listener: TcpListener,
    /// The accepted connections of the process.
    pub connections: Connections,
    /// The limits of this listener.
    pub limits: ListenerLimits,
    /// What each client may do; peers may be idle for longer.
    pub client_limits: ClientLimits,
}

/// Serves calls from peers until `stop` is cancelled.
pub async fn serve_peers<F, H>(
    listener: PeerListener,
    membership: Membership,
    config: ConfigFollower,
    own_report: F,
    requests: H,
    stop: CancellationToken,
) where
    F: Fn() -> PeerReport + Clone + Send + Sync + 'static,
    H: RequestHandler,
{
    let server = PeerServer {
        membership,
        config,
        own_report,
        requests,
    };
    let client_limits = ClientLimits {
        idle_timeout: IDLE_TIMEOUT,
        ..listener.client_limits
    };
    let serve = |stream| serve_connection(stream, server.clone(), stop.clone());
    listener
        .connections
        .accept_until(
            &listener.listener,
            listener.limits,
            stop.cancelled(),
            || client_limits,
            serve,
        )
        .await;
}

/// Serves the calls on one connection until `stop` is cancelled.
async fn serve_connection<F, H>(
    stream: WatchedStream,
    server: PeerServer<F, H>,
    stop: CancellationToken,
) where
    F: Fn() -> PeerReport + Clone + Send + Sync + 'static,
    H: RequestHandler,
{
    let connection = stream.connection().clone();
    let serving = async {
        // An error means that the peer has closed the connection.
        let has_begun = stream.wait_for_request().await.unwrap_or(false);
        if !has_begun || connection.hold_overhead().await.is_err() {
            return;
        }
        let framed = Framed::new(CountedStream(stream), CalleeCodec::new(connection));
        let transport = tokio_serde::Framed::new(framed, Json::default());
        let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(MAX_CALLS);
        let responses = channel.execute(server.serve());
        let serving = responses.for_each(|response| async {
            tokio::spawn(response);
        });
        Box::pin(serving).await;
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = serving => {}
    }
}

/// Opens a connection to a peer.
pub(crate) async fn connect_peer(address: SocketAddr) -> Result<PeerClient, PeerError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| PeerError::Timeout(address))?
        .map_err(|source| PeerError::Connect { address, source })?;
    // Without TCP_NODELAY calls may be late, which is no reason to drop the connection.
    let _ = stream.set_nodelay(true);
    let framed = Framed::new(CountedStream(stream), caller_codec());
    let transport = tarpc::serde_transport::new(framed, Json::default());
    Ok(PeerClient::new(tarpc::client::Config::default(), transport).spawn())
}
