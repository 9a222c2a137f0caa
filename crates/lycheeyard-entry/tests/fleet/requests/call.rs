use crate::support::{api, start_with_base};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use lycheeyard_protocol::{Outcome, Problem};
use lycheeyard_standin::EntryFleet;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

const POLL: Duration = Duration::from_millis(20);

/// How long a test waits for something that must come about.
pub const LIVENESS: Duration = Duration::from_secs(30);
/// The path of requests.
pub const PATH: &str = "/v1/services/delay-maps/refresh";

/// An answer of an entry process.
pub struct Answer {
    pub status: StatusCode,
    pub outcome: Option<Outcome>,
    pub body: Bytes,
}

impl Answer {
    pub fn problem(&self) -> Problem {
        serde_json::from_slice(&self.body).expect("a problem")
    }
}

/// Sends a request; none where the connection broke.
pub async fn send(
    address: SocketAddr,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Option<Answer> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let mut req = Request::post(PATH).header("host", "entry");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(body.into())).expect("a request");
    let reply = timeout(LIVENESS, sender.send_request(req)).await.ok()?;
    let (parts, body) = reply.ok()?.into_parts();
    let outcome = parts.headers.get("lycheeyard-outcome");
    Some(Answer {
        status: parts.status,
        outcome: outcome.and_then(|value| value.to_str().ok()?.parse().ok()),
        body: body.collect().await.ok()?.to_bytes(),
    })
}

/// Starts entry processes that know of each other, of the base ticket and of the runners.
pub async fn start(count: usize) -> EntryFleet {
    let fleet = start_with_base(&[count]).await;
    for name in fleet.names() {
        wait_for_runners(address(&fleet, &name)).await;
    }
    fleet
}

/// The address for callers of an entry process.
pub fn address(fleet: &EntryFleet, name: &str) -> SocketAddr {
    api(fleet, name).address()
}

/// Waits until an entry process has seen the platform's list, which lags.
async fn wait_for_runners(address: SocketAddr) {
    let deadline = Instant::now() + LIVENESS;
    let headers = [("lycheeyard-organisation", "org-b")];
    loop {
        let answer = send(address, &headers, "").await.expect("an answer");
        if answer.outcome == Some(Outcome::Done) {
            return;
        }
        assert!(Instant::now() < deadline, "{:?}", answer.body);
        sleep(POLL).await;
    }
}
