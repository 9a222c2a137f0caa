//! Keys at the interface of an entry instance: refusals, probes, and what reaches a runner.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use lycheeyard_entry::{AccessMode, EntryNode, LogFilter, LogFormat, OperatorKeys, Settings};
use lycheeyard_protocol::{
    Digest, Incarnation, Instance, InstanceRole, InstanceState, Organisation, Problem, ProblemKind,
    RequestsPerSecond, Service, Slots, Ticket, TicketNumber, Weight,
};
use lycheeyard_standin::{Faults, JsonHandler, ListStandin, StandinServer, StoreStandin};
use rstest::rstest;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{net::TcpStream, time::sleep};
use tokio_util::sync::CancellationToken;

const OPERATOR: &str = "Bearer operator-key";
const NORTH: &str = "Bearer north-key";
const TRIES: usize = 400;

/// A runner that keeps the `Authorization` headers of its requests.
#[derive(Clone, Default)]
struct Recorder(Arc<Mutex<Vec<Option<String>>>>);

impl JsonHandler for Recorder {
    async fn handle(&self, req: Request<Bytes>) -> Response<Full<Bytes>> {
        let header = req.headers().get("authorization");
        let text = header.map(|value| format!("{value:?}"));
        self.0.lock().expect("a lock").push(text);
        Response::new(Full::new(Bytes::from("answer")))
    }
}

struct Site {
    address: SocketAddr,
    recorder: Recorder,
    stop: CancellationToken,
    _standins: (StoreStandin, ListStandin, StandinServer),
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn start() -> Site {
    let store = StoreStandin::start().await.expect("a store");
    let list = ListStandin::start(Duration::ZERO).await.expect("a list");
    let recorder = Recorder::default();
    let runner = StandinServer::start(recorder.clone(), Faults::default());
    let runner = runner.await.expect("a runner");
    list.put(Instance {
        name: "u1".to_owned(),
        role: InstanceRole::Runner,
        data_centre: "dc1".parse().expect("a name"),
        service: Some("maps".parse().expect("a name")),
        address: runner.address(),
        peer_address: None,
        incarnation: Incarnation(1),
        state: InstanceState::Live,
    });
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = Settings {
        instance: "e1".parse().expect("a name"),
        incarnation: Incarnation(1),
        data_centre: "dc1".parse().expect("a name"),
        listen: free,
        peer_listen: free,
        store: store.address(),
        instances: list.address(),
        scheduler_lease: Duration::from_secs(3),
        drain: Duration::ZERO,
        access: AccessMode::Keys,
        operator_keys: OperatorKeys::new(vec![Digest::of(b"operator-key")]),
        log_format: LogFormat::Text,
        log_filter: LogFilter::default(),
    };
    let node = EntryNode::bind(settings).await.expect("an entry instance");
    let address = node.address();
    let stop = CancellationToken::new();
    tokio::spawn(node.run(stop.clone()));
    Site {
        address,
        recorder,
        stop,
        _standins: (store, list, runner),
    }
}

fn ticket() -> Ticket {
    Ticket {
        number: TicketNumber(1),
        summary: String::new(),
        data_centres: Vec::new(),
        organisations: vec![Organisation {
            id: "north".parse().expect("a name"),
            weight: Weight(1),
            concurrency: Slots(8),
            rate: RequestsPerSecond(1000),
            guarantees: Vec::new(),
            key_digests: vec![Digest::of(b"north-key").to_string()],
        }],
        services: vec![Service {
            id: "maps".parse().expect("a name"),
            organisations: std::collections::BTreeSet::new(),
            runner_slots: Slots(8),
            runner_connections: Slots(64),
        }],
        removed: Vec::new(),
    }
}

/// Makes a call and gives its status and body; each header stands as often as it is given.
async fn call(
    site: &Site,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> (u16, Bytes) {
    let stream = TcpStream::connect(site.address)
        .await
        .expect("a connection");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("http");
    tokio::spawn(connection);
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "entry");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(Bytes::from(body))).expect("a request");
    let reply = sender.send_request(req).await.expect("an answer");
    let status = reply.status().as_u16();
    let body = reply.into_body().collect().await.expect("a whole body");
    (status, body.to_bytes())
}

async fn put_ticket(site: &Site, key: &str) -> u16 {
    let body = serde_json::to_vec(&ticket()).expect("JSON");
    let headers = [("authorization", key)];
    call(site, Method::PUT, "/v1/tickets/1", &headers, body)
        .await
        .0
}

#[rstest]
#[case(&[], 401, ProblemKind::Unauthenticated)]
#[case(&["operator-key"], 401, ProblemKind::Unauthenticated)]
#[case(&["Basic operator-key"], 401, ProblemKind::Unauthenticated)]
#[case(&["Bearer "], 401, ProblemKind::Unauthenticated)]
#[case(&[OPERATOR, OPERATOR], 401, ProblemKind::Unauthenticated)]
#[case(&["Bearer operator-ke"], 403, ProblemKind::Forbidden)]
#[case(&["Bearer operator-key2"], 403, ProblemKind::Forbidden)]
#[case(&["Bearer 7ec1eeceaed18b822fdb7a482d0706d7a182e0fad188cd913876903f21caef50"], 403, ProblemKind::Forbidden)]
#[tokio::test]
async fn operators_call_without_a_fitting_key_is_refused(
    #[case] keys: &[&str],
    #[case] status: u16,
    #[case] kind: ProblemKind,
) {
    let site = start().await;
    let headers: Vec<_> = keys.iter().map(|key| ("authorization", *key)).collect();
    for path in [
        "/v1/status",
        "/v1/tickets",
        "/v1/jobs",
        "/v1/audit",
        "/v2/new",
    ] {
        let (seen, body) = call(&site, Method::GET, path, &headers, Vec::new()).await;
        assert_eq!(seen, status, "{path}");
        let problem: Problem = serde_json::from_slice(&body).expect("a problem");
        assert_eq!(problem.title, kind);
        let text = String::from_utf8_lossy(&body).into_owned();
        assert!(
            !text.contains("operator-ke"),
            "the answer repeats the key: {text}"
        );
    }
}

#[tokio::test]
async fn probes_and_metrics_need_no_key() {
    let site = start().await;
    for (path, expected) in [("/livez", 200), ("/readyz", 503), ("/metrics", 200)] {
        let (status, _) = call(&site, Method::GET, path, &[], Vec::new()).await;
        assert_eq!(status, expected, "{path}");
    }
}

#[tokio::test]
async fn organisations_key_opens_its_own_requests_and_stops_at_the_entry() {
    let site = start().await;
    assert_eq!(put_ticket(&site, NORTH).await, 403, "not known yet");
    assert_eq!(put_ticket(&site, OPERATOR).await, 200);
    assert_eq!(
        put_ticket(&site, NORTH).await,
        403,
        "known, but no operator"
    );
    let headers = [
        ("authorization", NORTH),
        ("lycheeyard-organisation", "north"),
    ];
    let mut status = 0;
    for _ in 0..TRIES {
        status = call(
            &site,
            Method::POST,
            "/v1/services/maps/x",
            &headers,
            Vec::new(),
        )
        .await
        .0;
        if status == 200 {
            break;
        }
        sleep(Duration::from_millis(25)).await;
    }
    assert_eq!(status, 200);
    let seen = site.recorder.0.lock().expect("a lock").clone();
    assert_eq!(seen, [None], "the runner got the key, or more requests");
    let other = [
        ("authorization", NORTH),
        ("lycheeyard-organisation", "south"),
    ];
    let (status, _) = call(
        &site,
        Method::POST,
        "/v1/services/maps/x",
        &other,
        Vec::new(),
    )
    .await;
    assert_eq!(status, 403);
}
