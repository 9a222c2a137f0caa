//! A listener whose connections cannot be accepted, as when no file descriptors are left.

use lycheeyard_clients::{ClientLimits, Connections, ListenerKind, ProcessLimits};
use lycheeyard_peer::{
    ClaimStatus, Membership, PeerListener, PeerReport, RequestHandler, UsageReport, serve_peers,
};
use lycheeyard_protocol::Nonce;
use lycheeyard_state::ConfigFollower;
use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    os::fd::OwnedFd,
    sync::mpsc,
    thread,
    time::Duration,
};
use tokio::{runtime::Builder, time::sleep};
use tokio_util::sync::CancellationToken;

/// The time of the test process within which the runtime must have been idle. It matters only if the test fails.
const REAL_LIMIT: Duration = Duration::from_secs(10);

/// Handles no calls.
#[derive(Clone)]
struct NoRequests;

impl RequestHandler for NoRequests {
    fn exchange_usage(&self, report: UsageReport) -> UsageReport {
        report
    }

    fn claim_status(&self, _: &Nonce) -> ClaimStatus {
        ClaimStatus::Unknown
    }
}

fn no_report() -> PeerReport {
    unreachable!("no call arrives")
}

/// Returns a listener that is always ready and each of whose `accept` calls fails, and the peer that keeps it so: it is the end of a
/// connection.
fn failing_listener() -> (TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port is free");
    let address = listener.local_addr().expect("listener has an address");
    let mut peer = TcpStream::connect(address).expect("listener accepts");
    let (stream, _) = listener.accept().expect("peer has connected");
    peer.write_all(b"x").expect("connection is open");
    stream
        .set_nonblocking(true)
        .expect("mode of a socket can be set");
    (TcpListener::from(OwnedFd::from(stream)), peer)
}

/// Serves peers for a second of paused time, which passes only while the runtime is idle.
async fn serve_for_a_second() {
    let (listener, _peer) = failing_listener();
    let listener = tokio::net::TcpListener::from_std(listener).expect("runtime takes the socket");
    let stop = CancellationToken::new();
    let limits = ProcessLimits::default();
    let listener = PeerListener {
        listener,
        connections: Connections::new(limits.request_bytes),
        limits: limits.listener(ListenerKind::Peers),
        client_limits: ClientLimits::default(),
    };
    let serving = tokio::spawn(serve_peers(
        listener,
        Membership::default(),
        ConfigFollower::default(),
        no_report,
        NoRequests,
        stop.clone(),
    ));
    sleep(Duration::from_secs(1)).await;
    assert!(!serving.is_finished());
    stop.cancel();
    serving.await.expect("server does not panic");
}

/// Guards against a processor that is busy with `accept` calls that fail.
#[test]
fn failing_accept_is_retried_after_a_pause() {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build();
        runtime
            .expect("runtime starts")
            .block_on(serve_for_a_second());
        tx.send(())
    });
    let ended = rx.recv_timeout(REAL_LIMIT);
    assert_eq!(ended, Ok(()), "the runtime is never idle");
}
