use super::{LoadDocument, Target, recorder::RequestResult};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use lycheeyard_protocol::Outcome;
use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

const WORK_HEADER: &str = "standin-work-us";
const ORGANISATION_HEADER: &str = "lycheeyard-organisation";
const DEADLINE_HEADER: &str = "lycheeyard-deadline-ms";
const OUTCOME_HEADER: &str = "lycheeyard-outcome";
const AUTHORIZATION_HEADER: &str = "authorization";

type Sender = SendRequest<Full<Bytes>>;

/// An HTTP client that keeps connections open between requests.
#[derive(Debug)]
pub(super) struct LoadClient {
    document: LoadDocument,
    targets: Vec<Target>,
    idle_connections: Vec<Mutex<Vec<Sender>>>,
    next_target: AtomicUsize,
    next_request: AtomicU64,
}

impl LoadClient {
    /// Creates a client that sends to the targets in turn.
    pub fn new(document: LoadDocument, targets: Vec<Target>) -> Self {
        Self {
            idle_connections: targets.iter().map(|_| Mutex::default()).collect(),
            document,
            targets,
            next_target: AtomicUsize::new(0),
            next_request: AtomicU64::new(0),
        }
    }

    /// Sends one request and returns its result from the point of view of the caller.
    pub async fn send(&self, organisation: usize, deadline: Instant) -> RequestResult {
        let index = self.next_target.fetch_add(1, Ordering::Relaxed) % self.targets.len();
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let body = self.body(number);
        let exchange = self.exchange(index, organisation, body.clone());
        match timeout_at(deadline, exchange).await {
            Ok(Some((response, response_body))) => classify(&response, &response_body, &body),
            Ok(None) | Err(_) => RequestResult::NoResponse,
        }
    }

    /// Builds a request body that is unique in the run, so that a response to another request is detected.
    fn body(&self, number: u64) -> Bytes {
        let mut body = format!("{number:020}").into_bytes();
        body.resize(self.document.body_bytes.max(body.len()), b'.');
        Bytes::from(body)
    }

    async fn exchange(
        &self,
        index: usize,
        organisation: usize,
        body: Bytes,
    ) -> Option<(Response<()>, Bytes)> {
        let target = self.targets[index];
        let mut sender = self.take_connection(index).await?;
        let req = self.build_request(target, organisation, body)?;
        let (parts, response_body) = sender.send_request(req).await.ok()?.into_parts();
        let response_body = response_body.collect().await.ok()?.to_bytes();
        self.lock_idle(index).push(sender);
        Some((Response::from_parts(parts, ()), response_body))
    }

    async fn take_connection(&self, index: usize) -> Option<Sender> {
        loop {
            let pooled = self.lock_idle(index).pop();
            match pooled {
                Some(sender) if sender.is_ready() => return Some(sender),
                Some(_) => {}
                None => return open_connection(self.targets[index]).await,
            }
        }
    }

    fn build_request(
        &self,
        target: Target,
        organisation: usize,
        body: Bytes,
    ) -> Option<Request<Full<Bytes>>> {
        let document = &self.document;
        let share = &document.organisations[organisation];
        let path = match target {
            Target::Entry(_) => format!("/v1/services/{}/{}", document.service, document.path),
            Target::Runner(_) => format!("/{}", document.path),
        };
        let mut req = Request::post(path)
            .header(HOST, target.address().to_string())
            .header(ORGANISATION_HEADER, share.id.as_str())
            .header(DEADLINE_HEADER, document.deadline_ms);
        if let Some(work) = document.work_us {
            req = req.header(WORK_HEADER, work);
        }
        if let Some(key) = &share.key {
            req = req.header(AUTHORIZATION_HEADER, format!("Bearer {key}"));
        }
        req.body(Full::new(body)).ok()
    }

    fn lock_idle(&self, index: usize) -> std::sync::MutexGuard<'_, Vec<Sender>> {
        self.idle_connections[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open_connection(target: Target) -> Option<Sender> {
    let stream = TcpStream::connect(target.address()).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

fn classify(response: &Response<()>, response_body: &Bytes, body: &Bytes) -> RequestResult {
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let is_problem = header(CONTENT_TYPE.as_str()) == Some("application/problem+json");
    if is_problem {
        let outcome = header(OUTCOME_HEADER).and_then(|text| text.parse().ok());
        return RequestResult::ErrorResponse(outcome.unwrap_or(Outcome::Unknown));
    }
    if !response.status().is_success() {
        return RequestResult::ErrorResponse(Outcome::Done);
    }
    if response_body == body {
        RequestResult::Answered
    } else {
        RequestResult::WrongResponse
    }
}
