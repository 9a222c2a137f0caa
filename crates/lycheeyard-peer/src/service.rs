use crate::{
    ClaimStatus, Membership, PeerReport, RequestHandler, UsageReport, counted_stream::CountedStream,
};
use futures::StreamExt;
use lycheeyard_protocol::{Nonce, Revision};
use lycheeyard_state::{ConfigFollower, PeerUpdate};
use std::{net::SocketAddr, time::Duration};
use tarpc::{
    context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Json,
};
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};
use tracing::warn;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// The delay before `accept` is retried after a failure, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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

/// Serves calls from peers until `stop` is cancelled.
pub async fn serve_peers<F, H>(
    listener: TcpListener,
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
    let mut is_failing = false;
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                is_failing = false;
                serve_connection(stream, server.clone(), stop.clone());
            }
            Err(err) => {
                if !is_failing {
                    warn!(%err, "peer: connections cannot be accepted; trying again");
                }
                is_failing = true;
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the calls on one connection in the background until `stop` is cancelled.
fn serve_connection<F, H>(stream: TcpStream, server: PeerServer<F, H>, stop: CancellationToken)
where
    F: Fn() -> PeerReport + Clone + Send + Sync + 'static,
    H: RequestHandler,
{
    // Without TCP_NODELAY calls may be late, which is no reason to drop the connection.
    let _ = stream.set_nodelay(true);
    let framed = codec().new_framed(CountedStream(stream));
    let transport = tarpc::serde_transport::new(framed, Json::default());
    let responses = BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(|response| async {
            tokio::spawn(response);
        });
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = responses => {}
        }
    });
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
    let framed = codec().new_framed(CountedStream(stream));
    let transport = tarpc::serde_transport::new(framed, Json::default());
    Ok(PeerClient::new(tarpc::client::Config::default(), transport).spawn())
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
