use super::{
    CallError, ConnectionReuse, HttpReply,
    arrivals::Arrivals,
    exchange::{Sender, open, read_body, read_long_body, send_head},
    json_request,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
const MAX_IDLE_CONNECTIONS: usize = 8;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of calls to one address that may be in progress at a time. Further ones wait.
const MAX_CALLS: usize = 128;

#[derive(Debug)]
struct PooledConnection {
    sender: Sender,
    opened_at: Instant,
    reusable_until: Instant,
    is_reused: bool,
}

/// A call whose response has begun to arrive.
struct BegunCall {
    head: Response<Incoming>,
    pooled: PooledConnection,
    sent_at: Instant,
    /// Lets the call count as one of those in progress.
    _permit: OwnedSemaphorePermit,
    /// When the call would have been given up without a response.
    response_deadline: Instant,
}

/// A client for JSON interfaces over HTTP/1.1 with pooled connections.
///
/// A connection is reused only if it was idle for a few seconds at most. When a call gets no response
/// in time, all pooled connections to the same address are dropped, since they may be dead as well, unless a
/// long response is arriving from there, behind which others wait.
#[derive(Clone, Debug, Default)]
pub struct JsonClient {
    pool: Arc<Mutex<BTreeMap<SocketAddr, Vec<PooledConnection>>>>,
    calls: Arc<Mutex<BTreeMap<SocketAddr, Arc<Semaphore>>>>,
    reuse: ConnectionReuse,
    usual_response_time: Arc<Mutex<Duration>>,
    arrivals: Arrivals,
}

impl JsonClient {
    /// Creates a client with the given rule for reusing connections.
    #[must_use]
    pub fn with_reuse(reuse: ConnectionReuse) -> Self {
        Self {
            pool: Arc::default(),
            calls: Arc::default(),
            reuse,
            usual_response_time: Arc::default(),
            arrivals: Arrivals::default(),
        }
    }

    /// Creates a client of its own connections that knows, as `other` does, whether a long response arrives at either of them.
    #[must_use]
    pub fn beside(other: &Self) -> Self {
        Self {
            arrivals: other.arrivals.clone(),
            ..Self::default()
        }
    }

    /// Posts `body` to `path` at `address` and decodes the response; gives up at `deadline`.
    ///
    /// # Errors
    /// Fails with [`CallError`] when no response with status 200 is read; its variants say whether the
    /// call may have taken effect.
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

    /// Sends a request to `address` and reads the whole response; gives up at `deadline`.
    ///
    /// # Errors
    /// Fails with [`CallError`] when there is no response; its variants say whether the call may have
    /// taken effect. A response with any status is a success.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<HttpReply, CallError> {
        let call = self.begin_call(address, req, deadline).await?;
        let body = read_body(call.head, address);
        let body = self.wait_while_busy(body, address, call.response_deadline, deadline);
        let Some(reply) = body.await else {
            return Err(self.give_up(address));
        };
        let reply = reply?;
        self.record_response_time(call.sent_at.elapsed());
        self.return_to_pool(address, call.pooled);
        Ok(reply)
    }

    /// Sends a request to `address` whose response may be long. Gives up if the response has not begun at
    /// `deadline`, or if no byte of it arrives for a second; it may take longer than that in all.
    ///
    /// # Errors
    /// Fails with [`CallError`] when there is no whole response; its variants say whether the call may
    /// have taken effect. A response with any status is a success.
    pub async fn send_for_long_response(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<HttpReply, CallError> {
        let call = self.begin_call(address, req, deadline).await?;
        self.record_response_time(call.sent_at.elapsed());
        let reply = read_long_body(call.head, address, &self.arrivals).await;
        if reply.is_err() {
            self.drop_connections(address);
        }
        let reply = reply?;
        self.return_to_pool(address, call.pooled);
        Ok(reply)
    }

    /// Sends a request and reads the head of the response.
    async fn begin_call(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<BegunCall, CallError> {
        let permit = self.begin_one_of_few(address, deadline).await?;
        let mut pooled = self.acquire(address, deadline).await?;
        let sent_at = Instant::now();
        let response_deadline = self.response_deadline(&pooled, deadline);
        let head = send_head(&mut pooled.sender, req, address);
        let head = self.wait_while_busy(head, address, response_deadline, deadline);
        let Some(head) = head.await else {
            return Err(self.give_up(address));
        };
        Ok(BegunCall {
            head: head?,
            pooled,
            sent_at,
            _permit: permit,
            response_deadline,
        })
    }

    /// Waits until the call may be one of those in progress at an address. They bound the descriptors that calls to a slow server use.
    async fn begin_one_of_few(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<OwnedSemaphorePermit, CallError> {
        let calls = lock(&self.calls)
            .entry(address)
            .or_insert_with(|| Arc::new(Semaphore::new(MAX_CALLS)))
            .clone();
        let permit = timeout_at(deadline, calls.acquire_owned()).await;
        let permit = permit.map_err(|_| CallError::Connect(address))?;
        permit.map_err(|_| CallError::Connect(address))
    }

    /// Returns the time until which a call on a connection waits for its response.
    fn response_deadline(&self, pooled: &PooledConnection, deadline: Instant) -> Instant {
        let usual = *lock(&self.usual_response_time);
        self.reuse
            .response_deadline(pooled.is_reused, usual, deadline)
    }

    /// Waits for a part of a response until `response_deadline`, or longer while the link is busy with a long response, but not beyond
    /// `deadline`.
    async fn wait_while_busy<T>(
        &self,
        response: impl Future<Output = T>,
        address: SocketAddr,
        response_deadline: Instant,
        deadline: Instant,
    ) -> Option<T> {
        let mut response = pin!(response);
        let mut until = response_deadline;
        loop {
            if let Ok(response) = timeout_at(until, &mut response).await {
                return Some(response);
            }
            let extended = self.arrivals.busy_until(address)?.min(deadline);
            if extended <= until {
                return None;
            }
            until = extended;
        }
    }

    async fn acquire(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<PooledConnection, CallError> {
        if let Some(pooled) = self.take_idle(address) {
            return Ok(pooled);
        }
        let now = Instant::now();
        let connect_deadline = deadline.min(now + CONNECT_TIMEOUT);
        let sender = timeout_at(connect_deadline, open(address))
            .await
            .map_err(|_| CallError::Connect(address))??;
        Ok(PooledConnection {
            sender,
            opened_at: now,
            reusable_until: now + MAX_IDLE_TIME,
            is_reused: false,
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut pool = self.lock();
        let idle = pool.get_mut(&address)?;
        idle.retain(|pooled| pooled.reusable_until > now && pooled.sender.is_ready());
        idle.pop()
    }

    fn return_to_pool(&self, address: SocketAddr, mut pooled: PooledConnection) {
        if self.reuse == ConnectionReuse::Never {
            return;
        }
        pooled.is_reused = true;
        pooled.reusable_until = Instant::now() + MAX_IDLE_TIME;
        let mut pool = self.lock();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(pooled);
            idle.sort_by_key(|pooled| pooled.opened_at);
        }
    }

    /// Updates the usual response time, so that a slow server is not mistaken for a dead connection.
    /// The value rises at once and falls slowly.
    fn record_response_time(&self, elapsed: Duration) {
        let mut usual = lock(&self.usual_response_time);
        *usual = elapsed.max((*usual * 3 + elapsed) / 4);
    }

    /// Returns the error of a call without a response. Drops the pooled connections, unless the link is busy with a long response.
    fn give_up(&self, address: SocketAddr) -> CallError {
        let busy_until = self.arrivals.busy_until(address);
        if busy_until.is_none_or(|until| until <= Instant::now()) {
            self.drop_connections(address);
        }
        CallError::NoResponse(address)
    }

    fn drop_connections(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<PooledConnection>>> {
        lock(&self.pool)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
