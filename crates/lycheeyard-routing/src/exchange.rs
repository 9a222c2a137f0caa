use crate::{
    RouteError, RouteRequest,
    answer::{AnswerBody, StreamBody},
    connection::{Connection, ConnectionPool, DialError, Freshness},
    request::header_name::TRY_ID,
    slots::SlotPermit,
    upstream::Upstream,
};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING},
};
use tokio::time::{Instant, timeout_at};

/// Answers up to this size are read completely before the caller gets the first byte, so that a truncated one can be
/// retried.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// The outcome of one try at an upstream.
#[derive(Debug)]
pub(crate) enum TryOutcome {
    /// The upstream answered.
    Answered(UpstreamAnswer),
    /// No byte of the request was sent.
    NotSent(RouteError),
    /// The request may have been sent, but no complete answer was received.
    MayHaveRun(RouteError),
}

/// An upstream's answer.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: AnswerBody,
}

/// The limits of one try.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TryLimits {
    pub freshness: Freshness,
    /// When a try without an answer counts as stalled. Idle connections to the same upstream that have carried no
    /// answer since the try began are then closed.
    pub stalled_at: Instant,
    /// When the complete answer must have been received.
    pub deadline: Instant,
}

/// The outcome of sending a request over one connection.
enum SendOutcome {
    /// The head of an answer was received.
    Head(Box<Connection>, Response<Incoming>),
    /// The connection had been closed before a byte of the request was sent.
    Closed,
    /// No answer was received.
    Failed(TryOutcome),
}

/// Sends a request over one connection of a pool and reads the answer.
///
/// If an idle connection turns out to be closed before anything was sent, the request is sent over a new connection.
pub(crate) async fn exchange(
    upstream: Upstream<'_>,
    req: &RouteRequest,
    limits: TryLimits,
    permit: &mut Option<SlotPermit>,
) -> TryOutcome {
    let id = try_id();
    let new_connection = TryLimits {
        freshness: Freshness::New,
        ..limits
    };
    let sent = match send(upstream, req, limits, &id).await {
        SendOutcome::Closed if limits.freshness != Freshness::New => {
            send(upstream, req, new_connection, &id).await
        }
        sent => sent,
    };
    let pool = upstream.pool;
    let upstream = upstream.name.to_owned();
    let (connection, response) = match sent {
        SendOutcome::Head(connection, response) => (*connection, response),
        SendOutcome::Closed => return TryOutcome::NotSent(RouteError::Unreachable { upstream }),
        SendOutcome::Failed(failed) => return failed,
    };
    if !matches_try(&response, &id) || !is_delimited(&response, &req.method) {
        return TryOutcome::MayHaveRun(RouteError::ConnectionLost { upstream });
    }
    match timeout_at(limits.deadline, read_buffered(response)).await {
        Err(_) => TryOutcome::MayHaveRun(RouteError::TimedOut { upstream }),
        Ok(Err(_)) => TryOutcome::MayHaveRun(RouteError::ConnectionLost { upstream }),
        Ok(Ok(buffered)) => {
            TryOutcome::Answered(buffered.finish(pool, connection, limits.deadline, permit))
        }
    }
}

/// Sends a request over one connection and waits for the head of the answer.
async fn send(
    upstream: Upstream<'_>,
    req: &RouteRequest,
    limits: TryLimits,
    id: &HeaderValue,
) -> SendOutcome {
    let mut connection = match connect(upstream, limits).await {
        Ok(connection) => connection,
        Err(err) => return SendOutcome::Failed(TryOutcome::NotSent(err)),
    };
    let pool = upstream.pool;
    let upstream = upstream.name.to_owned();
    let message = upstream_request(pool, req, id);
    let started_at = Instant::now();
    let response = connection.sender.try_send_request(message);
    let response = notify_if_stalled(response, limits.stalled_at, || {
        pool.close_unverified_since(started_at);
    });
    match timeout_at(limits.deadline, response).await {
        Err(_) => SendOutcome::Failed(TryOutcome::MayHaveRun(RouteError::TimedOut { upstream })),
        Ok(Err(err)) if err.message().is_some() => SendOutcome::Closed,
        Ok(Err(_)) => SendOutcome::Failed(TryOutcome::MayHaveRun(RouteError::ConnectionLost {
            upstream,
        })),
        Ok(Ok(response)) => SendOutcome::Head(Box::new(connection), response),
    }
}

/// Returns a connection on which a request may be sent at once.
async fn connect(upstream: Upstream<'_>, limits: TryLimits) -> Result<Connection, RouteError> {
    let evacuated = || RouteError::Evacuated(upstream.data_centre.clone());
    let pool = upstream.pool;
    if upstream.is_evacuated() {
        return Err(evacuated());
    }
    let may_dial = || !upstream.is_evacuated();
    let acquired = pool.acquire(limits.freshness, limits.deadline, may_dial);
    let connection = acquired.await.map_err(|err| match err {
        DialError::NotAllowed => evacuated(),
        DialError::LimitReached | DialError::Unreachable => RouteError::Unreachable {
            upstream: upstream.name.to_owned(),
        },
    })?;
    // The ticket may have come into force while the connection was opened.
    if upstream.is_evacuated() {
        return Err(evacuated());
    }
    Ok(connection)
}

/// Waits for an answer and calls `on_stall` if there is none at `stalled_at`.
async fn notify_if_stalled<T>(
    answer: impl Future<Output = T>,
    stalled_at: Instant,
    on_stall: impl FnOnce(),
) -> T {
    tokio::pin!(answer);
    if let Ok(answer) = timeout_at(stalled_at, &mut answer).await {
        return answer;
    }
    on_stall();
    answer.await
}

/// An answer whose body has been read completely or in part; `rest` is the unread part.
struct BufferedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    buffered: Bytes,
    rest: Option<Incoming>,
}

impl BufferedAnswer {
    fn finish(
        self,
        pool: &ConnectionPool,
        connection: Connection,
        deadline: Instant,
        permit: &mut Option<SlotPermit>,
    ) -> UpstreamAnswer {
        let body = if let Some(rest) = self.rest {
            let sleep = Box::pin(tokio::time::sleep_until(deadline));
            let stream = StreamBody::new(self.buffered, rest, sleep, connection, permit.take());
            AnswerBody::Stream(Box::new(stream))
        } else {
            let directive = self.headers.get(CONNECTION);
            if directive.is_none_or(|value| !value.as_bytes().eq_ignore_ascii_case(b"close")) {
                pool.put_back(connection);
            }
            AnswerBody::from_bytes(self.buffered)
        };
        UpstreamAnswer {
            status: self.status,
            headers: self.headers,
            body,
        }
    }
}

/// Reads the body up to [`MAX_BUFFERED_BYTES`]; a body that is declared to be longer is not read at all.
async fn read_buffered(response: Response<Incoming>) -> Result<BufferedAnswer, hyper::Error> {
    let (parts, mut body) = response.into_parts();
    let expected = body.size_hint().exact();
    let is_long = expected.is_some_and(|len| len > MAX_BUFFERED_BYTES as u64);
    let mut answer = BufferedAnswer {
        status: parts.status,
        headers: parts.headers,
        buffered: Bytes::new(),
        rest: None,
    };
    if is_long {
        answer.rest = Some(body);
        return Ok(answer);
    }
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buf.is_empty() && expected == Some(data.len() as u64) {
            answer.buffered = data;
            continue;
        }
        buf.extend_from_slice(&data);
        if buf.len() > MAX_BUFFERED_BYTES {
            answer.buffered = buf.freeze();
            answer.rest = Some(body);
            return Ok(answer);
        }
    }
    if answer.buffered.is_empty() {
        answer.buffered = buf.freeze();
    }
    Ok(answer)
}

/// Returns `false` if the answer carries the id of another try; upstreams need not echo the id.
fn matches_try(response: &Response<Incoming>, id: &HeaderValue) -> bool {
    response
        .headers()
        .get(TRY_ID)
        .is_none_or(|echoed| echoed == id)
}

/// Returns `true` if the answer has a marked end, so that a truncated answer can be detected.
fn is_delimited(response: &Response<Incoming>, method: &Method) -> bool {
    let headers = response.headers();
    *method == Method::HEAD
        || matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        )
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

fn try_id() -> HeaderValue {
    let id = format!("{:016x}", rand::random::<u64>());
    HeaderValue::from_str(&id).unwrap_or_else(|_| HeaderValue::from_static("0"))
}

/// Creates the HTTP request for the upstream; it carries the id of this try.
fn upstream_request(
    pool: &ConnectionPool,
    req: &RouteRequest,
    id: &HeaderValue,
) -> Request<Full<Bytes>> {
    let mut upstream = Request::new(Full::new(req.body.clone()));
    *upstream.method_mut() = req.method.clone();
    // Path and query come from a URI that has been parsed already, so that they parse again.
    *upstream.uri_mut() = req.path.parse().unwrap_or_default();
    *upstream.headers_mut() = req.headers.clone();
    if let Ok(host) = pool.address().to_string().parse() {
        upstream.headers_mut().insert(HOST, host);
    }
    upstream.headers_mut().insert(TRY_ID, id.clone());
    upstream
}
