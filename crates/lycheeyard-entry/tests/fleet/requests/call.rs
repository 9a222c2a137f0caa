use crate::support::{address, start_with_base_ticket};
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

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a test waits for an expected event before it fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// The path of the service requests that the tests send.
pub const PATH: &str = "/v1/services/delay-maps/refresh";

/// An answer of an entry process.
pub struct Answer {
    pub status: StatusCode,
    pub outcome: Option<Outcome>,
    pub body: Bytes,
}

impl Answer {
    pub fn problem(&self) -> Problem {
        serde_json::from_slice(&self.body).expect("answer is a problem")
    }
}

/// Sends a service request; `None` if the connection broke.
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
    let req = req.body(Full::new(body.into())).expect("request is valid");
    let reply = timeout(EVENT_TIMEOUT, sender.send_request(req))
        .await
        .ok()?;
    let (parts, body) = reply.ok()?.into_parts();
    let outcome = parts.headers.get("lycheeyard-outcome");
    Some(Answer {
        status: parts.status,
        outcome: outcome.and_then(|value| value.to_str().ok()?.parse().ok()),
        body: body.collect().await.ok()?.to_bytes(),
    })
}

/// Starts entry processes that have each other as peers, the base ticket and the list of runners.
pub async fn start(count: usize) -> EntryFleet {
    let fleet = start_with_base_ticket(&[count]).await;
    for name in fleet.names() {
        wait_for_runners(address(&fleet, &name)).await;
    }
    fleet
}

/// Waits until an entry process has the platform's instance list, which it receives with a delay.
async fn wait_for_runners(address: SocketAddr) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    let headers = [("lycheeyard-organisation", "org-b")];
    loop {
        let answer = send(address, &headers, "")
            .await
            .expect("entry instance answers");
        if answer.outcome == Some(Outcome::Done) {
            return;
        }
        assert!(Instant::now() < deadline, "{:?}", answer.body);
        sleep(POLL_INTERVAL).await;
    }
}
