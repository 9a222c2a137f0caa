//! Access control of an entry instance.
//!
//! Guards against calls that succeed without a valid key, and against keys that leak into an answer or to a runner.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use lycheeyard_clients::{ClientLimits, ProcessLimits};
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

const OPERATOR_AUTHORIZATION: &str = "Bearer operator-key";
const NORTH_AUTHORIZATION: &str = "Bearer north-key";
const MAX_ATTEMPTS: usize = 400;

/// A runner that records the `Authorization` headers of its requests.
#[derive(Clone, Default)]
struct RecordingRunner(Arc<Mutex<Vec<Option<String>>>>);

impl JsonHandler for RecordingRunner {
    async fn handle(&self, req: Request<Bytes>) -> Response<Full<Bytes>> {
        let header = req.headers().get("authorization");
        let text = header.map(|value| format!("{value:?}"));
        self.0.lock().expect("lock is not poisoned").push(text);
        Response::new(Full::new(Bytes::from("answer")))
    }
}

struct TestInstance {
    address: SocketAddr,
    runner: RecordingRunner,
    stop: CancellationToken,
    _standins: (StoreStandin, ListStandin, StandinServer),
}

impl Drop for TestInstance {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn start() -> TestInstance {
    let store = StoreStandin::start().await.expect("store stand-in starts");
    let list = ListStandin::start(Duration::ZERO)
        .await
        .expect("list stand-in starts");
    let runner = RecordingRunner::default();
    let runner_server = StandinServer::start(runner.clone(), Faults::default());
    let runner_server = runner_server.await.expect("runner stand-in starts");
    list.put(Instance {
        name: "u1".to_owned(),
        role: InstanceRole::Runner,
        data_centre: "dc1".parse().expect("name is valid"),
        service: Some("maps".parse().expect("name is valid")),
        address: runner_server.address(),
        peer_address: None,
        incarnation: Incarnation(1),
        state: InstanceState::Live,
    });
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = Settings {
        instance: "e1".parse().expect("name is valid"),
        incarnation: Incarnation(1),
        data_centre: "dc1".parse().expect("name is valid"),
        listen: any_port,
        peer_listen: any_port,
        store: store.address(),
        instances: list.address(),
        scheduler_lease: Duration::from_secs(3),
        connections: ProcessLimits::default(),
        client_limits: ClientLimits::default(),
        drain: Duration::ZERO,
        access: AccessMode::Keys,
        operator_keys: OperatorKeys::new(vec![Digest::of(b"operator-key")]),
        log_format: LogFormat::Text,
        log_filter: LogFilter::default(),
    };
    let node = EntryNode::bind(settings)
        .await
        .expect("loopback port is free");
    let address = node.address();
    let stop = CancellationToken::new();
    tokio::spawn(node.run(stop.clone()));
    TestInstance {
        address,
        runner,
        stop,
        _standins: (store, list, runner_server),
    }
}

fn ticket() -> Ticket {
    Ticket {
        number: TicketNumber(1),
        summary: String::new(),
        data_centres: Vec::new(),
        organisations: vec![Organisation {
            id: "north".parse().expect("name is valid"),
            weight: Weight(1),
            concurrency: Slots(8),
            rate: RequestsPerSecond(1000),
            guarantees: Vec::new(),
            key_digests: vec![Digest::of(b"north-key").to_string()],
        }],
        services: vec![Service {
            id: "maps".parse().expect("name is valid"),
            organisations: std::collections::BTreeSet::new(),
            runner_slots: Slots(8),
            runner_connections: Slots(64),
        }],
        evacuation: None,
        removed: Vec::new(),
    }
}

/// Makes a call and returns its status and body. A header that is given twice is sent twice.
async fn call(
    instance: &TestInstance,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> (u16, Bytes) {
    let stream = TcpStream::connect(instance.address)
        .await
        .expect("entry instance accepts connections");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .expect("HTTP handshake succeeds");
    tokio::spawn(connection);
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "entry");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req
        .body(Full::new(Bytes::from(body)))
        .expect("request is valid");
    let reply = sender
        .send_request(req)
        .await
        .expect("entry instance answers");
    let status = reply.status().as_u16();
    let body = reply.into_body().collect().await.expect("body is complete");
    (status, body.to_bytes())
}

async fn put_ticket(instance: &TestInstance, key: &str) -> u16 {
    let body = serde_json::to_vec(&ticket()).expect("ticket serializes to JSON");
    let headers = [("authorization", key)];
    call(instance, Method::PUT, "/v1/tickets/1", &headers, body)
        .await
        .0
}

#[rstest]
#[case(&[], 401, ProblemKind::Unauthenticated)]
#[case(&["operator-key"], 401, ProblemKind::Unauthenticated)]
#[case(&["Basic operator-key"], 401, ProblemKind::Unauthenticated)]
#[case(&["Bearer "], 401, ProblemKind::Unauthenticated)]
#[case(&[OPERATOR_AUTHORIZATION, OPERATOR_AUTHORIZATION], 401, ProblemKind::Unauthenticated)]
#[case(&["Bearer operator-ke"], 403, ProblemKind::Forbidden)]
#[case(&["Bearer operator-key2"], 403, ProblemKind::Forbidden)]
#[case(&["Bearer 7ec1eeceaed18b822fdb7a482d0706d7a182e0fad188cd913876903f21caef50"], 403, ProblemKind::Forbidden)]
#[tokio::test]
async fn rejects_operator_call_without_valid_key(
    #[case] keys: &[&str],
    #[case] status: u16,
    #[case] kind: ProblemKind,
) {
    let instance = start().await;
    let headers: Vec<_> = keys.iter().map(|key| ("authorization", *key)).collect();
    for path in [
        "/v1/status",
        "/v1/tickets",
        "/v1/jobs",
        "/v1/audit",
        "/v2/new",
    ] {
        let (actual, body) = call(&instance, Method::GET, path, &headers, Vec::new()).await;
        assert_eq!(actual, status, "{path}");
        let problem: Problem = serde_json::from_slice(&body).expect("answer is a problem");
        assert_eq!(problem.title, kind);
        let text = String::from_utf8_lossy(&body).into_owned();
        assert!(
            !text.contains("operator-ke"),
            "the answer repeats the key: {text}"
        );
    }
}

#[tokio::test]
async fn serves_probes_and_metrics_without_key() {
    let instance = start().await;
    for (path, expected) in [("/livez", 200), ("/readyz", 503), ("/metrics", 200)] {
        let (status, _) = call(&instance, Method::GET, path, &[], Vec::new()).await;
        assert_eq!(status, expected, "{path}");
    }
}

#[tokio::test]
async fn organisation_key_permits_own_requests_and_does_not_reach_runner() {
    let instance = start().await;
    assert_eq!(
        put_ticket(&instance, NORTH_AUTHORIZATION).await,
        403,
        "the key is not configured yet"
    );
    assert_eq!(put_ticket(&instance, OPERATOR_AUTHORIZATION).await, 200);
    assert_eq!(
        put_ticket(&instance, NORTH_AUTHORIZATION).await,
        403,
        "the key is configured, but not as an operator's"
    );
    let headers = [
        ("authorization", NORTH_AUTHORIZATION),
        ("lycheeyard-organisation", "north"),
    ];
    let mut status = 0;
    for _ in 0..MAX_ATTEMPTS {
        status = call(
            &instance,
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
    let received = instance
        .runner
        .0
        .lock()
        .expect("lock is not poisoned")
        .clone();
    assert_eq!(
        received,
        [None],
        "the runner received the key or more than one request"
    );
    let other = [
        ("authorization", NORTH_AUTHORIZATION),
        ("lycheeyard-organisation", "south"),
    ];
    let (status, _) = call(
        &instance,
        Method::POST,
        "/v1/services/maps/x",
        &other,
        Vec::new(),
    )
    .await;
    assert_eq!(status, 403);
}
