use super::{CallError, Reuse};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST},
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
    reuse: Reuse,
}

impl JsonClient {
    /// Makes a client that reuses connections as told.
    #[must_use]
    pub fn with_reuse(reuse: Reuse) -> Self {
        Self {
            pool: Arc::default(),
            reuse,
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
        let malformed = |reason: String| CallError::Malformed { address, reason };
        let body = serde_json::to_vec(body).map_err(|err| malformed(err.to_string()))?;
        let req = Request::post(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| malformed(err.to_string()))?;
        let mut pooled = self.connect(address, deadline).await?;
        let limit = self.reuse.limit(pooled.is_reused, deadline);
        let answer = exchange(&mut pooled.sender, req, address);
        let Ok(answer) = timeout_at(limit, answer).await else {
            self.drop_connections(address);
            return Err(CallError::Lost(address));
        };
        let (status, bytes) = answer?;
        self.keep(address, pooled);
        if status != 200 {
            return Err(CallError::Refused { address, status });
        }
        serde_json::from_slice(&bytes).map_err(|err| malformed(err.to_string()))
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
        if self.reuse == Reuse::Never {
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

    fn drop_connections(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Pooled>>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
) -> Result<(u16, Bytes), CallError> {
    let lost = |_| CallError::Lost(address);
    let reply = sender.send_request(req).await.map_err(lost)?;
    let status = reply.status().as_u16();
    let body = reply.into_body().collect().await.map_err(lost)?;
    Ok((status, body.to_bytes()))
}
