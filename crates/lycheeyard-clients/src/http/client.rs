use super::{CallError, ConnectionReuse, HttpReply, json_request};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request,
    client::conn::http1::{self, SendRequest},
    header::{HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

const MAX_IDLE: Duration = Duration::from_secs(3);
const MAX_IDLE_CONNECTIONS: usize = 8;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Pooled {
    sender: Sender,
    opened_at: Instant,
    trusted_until: Instant,
    is_reused: bool,
}

/// Calls JSON interfaces over HTTP/1.1 with pooled connections.
///
/// A connection is reused only while it was idle for a few seconds at most. When a call on it gets no
/// answer, all pooled connections to the same address are dropped, since they may be silent as well.
#[derive(Clone, Debug, Default)]
pub struct JsonClient {
    pool: Arc<Mutex<BTreeMap<SocketAddr, Vec<Pooled>>>>,
    reuse: ConnectionReuse,
    answer_time: Arc<Mutex<Duration>>,
}

impl JsonClient {
    /// Makes a client that reuses connections as told.
    #[must_use]
    pub fn with_reuse(reuse: ConnectionReuse) -> Self {
        Self {
            pool: Arc::default(),
            reuse,
            answer_time: Arc::default(),
        }
    }

    /// Posts `body` to `path` at `address` and reads the answer, until `deadline` at most.
    ///
    /// # Errors
    /// Fails with [`CallError`]; its variants tell whether the call may have taken effect.
    pub async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
        deadline: Instant,
    ) -> Result<R, CallError> {
        let req = json_request(address, Method::POST, path, Some(body))?;
        let reply = self.send(address, req, deadline).await?;
        if reply.status != 200 {
            return Err(CallError::Refused {
                address,
                status: reply.status,
            });
        }
        reply.decode(address)
    }

    /// Sends a request to `address` and reads the whole answer, until `deadline` at most.
    ///
    /// # Errors
    /// Fails with [`CallError`] when there is no answer; its variants tell whether the call may have
    /// taken effect. An answer of any status is a success.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<HttpReply, CallError> {
        let host = HeaderValue::try_from(address.to_string());
        let host = host.map_err(|err| CallError::Malformed {
            address,
            reason: err.to_string(),
        })?;
        req.headers_mut().insert(HOST, host);
        let mut pooled = self.connect(address, deadline).await?;
        let sent_at = Instant::now();
        let usual = *lock(&self.answer_time);
        let limit = self.reuse.limit(pooled.is_reused, usual, deadline);
        let answer = exchange(&mut pooled.sender, req, address);
        let Ok(answer) = timeout_at(limit, answer).await else {
            self.drop_connections(address);
            return Err(CallError::NoResponse(address));
        };
        let reply = answer?;
        self.note_answer_time(sent_at.elapsed());
        self.keep(address, pooled);
        Ok(reply)
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Result<Pooled, CallError> {
        if let Some(pooled) = self.take(address) {
            return Ok(pooled);
        }
        let now = Instant::now();
        let limit = deadline.min(now + CONNECT_TIMEOUT);
        let sender = timeout_at(limit, open(address))
            .await
            .map_err(|_| CallError::Connect(address))??;
        Ok(Pooled {
            sender,
            opened_at: now,
            trusted_until: now + MAX_IDLE,
            is_reused: false,
        })
    }

    fn take(&self, address: SocketAddr) -> Option<Pooled> {
        let now = Instant::now();
        let mut pool = self.lock();
        let idle = pool.get_mut(&address)?;
        idle.retain(|pooled| pooled.trusted_until > now && pooled.sender.is_ready());
        idle.pop()
    }

    fn keep(&self, address: SocketAddr, mut pooled: Pooled) {
        if self.reuse == ConnectionReuse::Never {
            return;
        }
        pooled.is_reused = true;
        pooled.trusted_until = Instant::now() + MAX_IDLE;
        let mut pool = self.lock();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(pooled);
            idle.sort_by_key(|pooled| pooled.opened_at);
        }
    }

    /// Follows the usual answer time, so that a slow server is not taken for a silent one.
    fn note_answer_time(&self, elapsed: Duration) {
        let mut usual = lock(&self.answer_time);
        *usual = elapsed.max((*usual * 3 + elapsed) / 4);
    }

    fn drop_connections(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Pooled>>> {
        lock(&self.pool)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn open(address: SocketAddr) -> Result<Sender, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| CallError::Connect(address))?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::Connect(address))?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

async fn exchange(
    sender: &mut Sender,
    req: Request<Full<Bytes>>,
    address: SocketAddr,
) -> Result<HttpReply, CallError> {
    let lost = |err: hyper::Error| {
        if err.is_canceled() {
            CallError::Connect(address)
        } else {
            CallError::NoResponse(address)
        }
    };
    let reply = sender.send_request(req).await.map_err(lost)?;
    let status = reply.status().as_u16();
    let body = reply.into_body().collect().await.map_err(lost)?;
    Ok(HttpReply {
        status,
        body: body.to_bytes(),
    })
}
