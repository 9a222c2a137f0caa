use crate::{
    RouteError, RouteRequest,
    answer::{AnswerBody, StreamBody},
    connection::{Connection, ConnectionPool, Freshness},
    request::header_name::TRY_ID,
    slots::SlotPermit,
};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING},
};
use tokio::time::{Instant, timeout_at};

/// Answers up to this size are held whole before the caller gets the first byte.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// What one try at an upstream came to.
#[derive(Debug)]
pub(crate) enum Try {
    /// The upstream answered.
    Answered(UpstreamAnswer),
    /// No byte of the request was sent.
    NotSent(RouteError),
    /// The request may have been sent, and there is no whole answer.
    MayHaveRun(RouteError),
}

/// An upstream's answer.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: AnswerBody,
}

/// The bounds of one try.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TryLimits {
    pub freshness: Freshness,
    /// When a connection without an answer makes its idle siblings suspect.
    pub silent_at: Instant,
    /// Until when the whole answer must be there.
    pub deadline: Instant,
}

/// What became of sending a request over one connection.
enum Sent {
    /// The head of an answer came.
    Reply(Box<Connection>, Response<Incoming>),
    /// The connection had been closed before a byte of the request was sent.
    Closed,
    /// There is no answer.
    Failed(Try),
}

/// Sends a request over one connection of a pool and reads the answer.
///
/// Where an idle connection turns out to be closed before anything was sent, a new one is opened at once.
pub(crate) async fn exchange(
    pool: &ConnectionPool,
    upstream: &str,
    req: &RouteRequest,
    limits: TryLimits,
    permit: &mut Option<SlotPermit>,
) -> Try {
    let id = try_id();
    let new = TryLimits {
        freshness: Freshness::New,
        ..limits
    };
    let sent = match send(pool, upstream, req, limits, &id).await {
        Sent::Closed if limits.freshness != Freshness::New => {
            send(pool, upstream, req, new, &id).await
        }
        sent => sent,
    };
    let upstream = upstream.to_owned();
    let (connection, reply) = match sent {
        Sent::Reply(connection, reply) => (*connection, reply),
        Sent::Closed => return Try::NotSent(RouteError::Unreachable { upstream }),
        Sent::Failed(failed) => return failed,
    };
    if !belongs_to(&reply, &id) || !has_known_end(&reply, &req.method) {
        return Try::MayHaveRun(RouteError::BrokenOff { upstream });
    }
    match timeout_at(limits.deadline, read_held(reply)).await {
        Err(_) => Try::MayHaveRun(RouteError::TimedOut { upstream }),
        Ok(Err(_)) => Try::MayHaveRun(RouteError::BrokenOff { upstream }),
        Ok(Ok(held)) => Try::Answered(held.finish(pool, connection, limits.deadline, permit)),
    }
}

/// Sends a request over one connection and waits for the head of the answer.
async fn send(
    pool: &ConnectionPool,
    upstream: &str,
    req: &RouteRequest,
    limits: TryLimits,
    id: &HeaderValue,
) -> Sent {
    let upstream = upstream.to_owned();
    let Ok(mut connection) = pool.take(limits.freshness, limits.deadline).await else {
        return Sent::Failed(Try::NotSent(RouteError::Unreachable { upstream }));
    };
    let message = upstream_request(pool, req, id);
    let began_at = Instant::now();
    let reply = connection.sender.try_send_request(message);
    let reply = notice_silence(reply, limits.silent_at, || {
        pool.distrust(began_at);
    });
    match timeout_at(limits.deadline, reply).await {
        Err(_) => Sent::Failed(Try::MayHaveRun(RouteError::TimedOut { upstream })),
        Ok(Err(err)) if err.message().is_some() => Sent::Closed,
        Ok(Err(_)) => Sent::Failed(Try::MayHaveRun(RouteError::BrokenOff { upstream })),
        Ok(Ok(reply)) => Sent::Reply(Box::new(connection), reply),
    }
}

/// Waits for an answer and calls `suspect` if it is not there at `silent_at`.
async fn notice_silence<T>(
    answer: impl Future<Output = T>,
    silent_at: Instant,
    suspect: impl FnOnce(),
) -> T {
    tokio::pin!(answer);
    if let Ok(answer) = timeout_at(silent_at, &mut answer).await {
        return answer;
    }
    suspect();
    answer.await
}

/// An answer of which as much was read as is held.
struct HeldAnswer {
    status: StatusCode,
    headers: HeaderMap,
    held: Bytes,
    rest: Option<Incoming>,
}

impl HeldAnswer {
    fn finish(
        self,
        pool: &ConnectionPool,
        connection: Connection,
        deadline: Instant,
        permit: &mut Option<SlotPermit>,
    ) -> UpstreamAnswer {
        let body = if let Some(rest) = self.rest {
            let sleep = Box::pin(tokio::time::sleep_until(deadline));
            let stream = StreamBody::new(self.held, rest, sleep, connection, permit.take());
            AnswerBody::Stream(Box::new(stream))
        } else {
            let closes = self.headers.get(CONNECTION);
            if closes.is_none_or(|value| !value.as_bytes().eq_ignore_ascii_case(b"close")) {
                pool.put_back(connection);
            }
            AnswerBody::whole(self.held)
        };
        UpstreamAnswer {
            status: self.status,
            headers: self.headers,
            body,
        }
    }
}

async fn read_held(reply: Response<Incoming>) -> Result<HeldAnswer, hyper::Error> {
    let (parts, mut body) = reply.into_parts();
    let expected = body.size_hint().exact();
    let is_long = expected.is_some_and(|len| len > MAX_HELD_BYTES as u64);
    let mut answer = HeldAnswer {
        status: parts.status,
        headers: parts.headers,
        held: Bytes::new(),
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
            answer.held = data;
            continue;
        }
        buf.extend_from_slice(&data);
        if buf.len() > MAX_HELD_BYTES {
            answer.held = buf.freeze();
            answer.rest = Some(body);
            return Ok(answer);
        }
    }
    if answer.held.is_empty() {
        answer.held = buf.freeze();
    }
    Ok(answer)
}

/// Whether the answer is to this try, as far as the upstream repeats the id of the try.
fn belongs_to(reply: &Response<Incoming>, id: &HeaderValue) -> bool {
    reply
        .headers()
        .get(TRY_ID)
        .is_none_or(|answered| answered == id)
}

/// Whether the end of the answer is marked, so that a cut can be told from the end.
fn has_known_end(reply: &Response<Incoming>, method: &Method) -> bool {
    let headers = reply.headers();
    *method == Method::HEAD
        || matches!(
            reply.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        )
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

fn try_id() -> HeaderValue {
    let id = format!("{:016x}", rand::random::<u64>());
    HeaderValue::from_str(&id).unwrap_or_else(|_| HeaderValue::from_static("0"))
}

fn upstream_request(
    pool: &ConnectionPool,
    req: &RouteRequest,
    id: &HeaderValue,
) -> Request<Full<Bytes>> {
    let mut upstream = Request::new(Full::new(req.body.clone()));
    *upstream.method_mut() = req.method.clone();
    *upstream.uri_mut() = req.path.parse().unwrap_or_default();
    *upstream.headers_mut() = req.headers.clone();
    if let Ok(host) = pool.address().to_string().parse() {
        upstream.headers_mut().insert(HOST, host);
    }
    upstream.headers_mut().insert(TRY_ID, id.clone());
    upstream
}
