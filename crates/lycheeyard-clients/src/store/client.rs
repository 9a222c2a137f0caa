use super::{
    CallClass, Store, StoreError, WriteOutcome,
    guard::{CallKind, Guard},
};
use crate::{CallError, ConnectionReuse, JsonClient};
use lycheeyard_protocol::platform::{
    RangeReply, RangeRequest, WatchRequest, WriteReply, WriteRequest,
};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};

/// How long a call on a reused connection waits before the connection counts as dead.
const REUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(700);
const MIN_SERVER_ERROR_STATUS: u16 = 500;
const MAX_READ_ATTEMPTS: usize = 3;
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A client of the store over HTTP with JSON.
///
/// All clones share their connections, the rate limits and the circuit breaker.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: JsonClient,
    watches: JsonClient,
    guard: Guard,
    address: SocketAddr,
}

impl HttpStore {
    /// Creates a client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: JsonClient::with_reuse(ConnectionReuse::Limited(REUSED_CONNECTION_TIMEOUT)),
            watches: JsonClient::with_reuse(ConnectionReuse::Never),
            guard: Guard::new(),
            address,
        }
    }

    /// Sets this instance's share of the store's read and write rates from the size of the fleet.
    pub fn set_share(&self, instances: usize, data_centres: usize, is_scheduler: bool) {
        self.guard.set_share(instances, data_centres, is_scheduler);
    }

    async fn try_range(
        &self,
        class: CallClass,
        req: &RangeRequest,
        deadline: Instant,
    ) -> Result<RangeReply, StoreError> {
        self.guard.admit(class, CallKind::Read, deadline).await?;
        let reply = self.client.post(self.address, "/v1/range", req, deadline);
        let reply = reply.await;
        self.guard.record_result(class, is_store_healthy(&reply));
        reply.map_err(StoreError::NoAnswer)
    }
}

impl Store for HttpStore {
    async fn range(
        &self,
        class: CallClass,
        req: RangeRequest,
        deadline: Instant,
    ) -> Result<RangeReply, StoreError> {
        let mut attempts = 1;
        loop {
            let reply = self.try_range(class, &req, deadline).await;
            // The read may have been sent on a dead connection; the pool has dropped those by now.
            let is_unanswered = matches!(
                reply,
                Err(StoreError::NoAnswer(
                    CallError::NoResponse(_) | CallError::ConnectionLost(_)
                ))
            );
            if !is_unanswered
                || attempts == MAX_READ_ATTEMPTS
                || Instant::now() + RETRY_DELAY >= deadline
            {
                return reply;
            }
            attempts += 1;
            let jitter: f64 = rand::random_range(0.5..1.0);
            sleep(RETRY_DELAY.mul_f64(jitter)).await;
        }
    }

    async fn write(
        &self,
        class: CallClass,
        req: WriteRequest,
        deadline: Instant,
    ) -> Result<WriteOutcome, StoreError> {
        self.guard.admit(class, CallKind::Write, deadline).await?;
        let reply = self.client.post(self.address, "/v1/write", &req, deadline);
        let reply = reply.await;
        self.guard.record_result(class, is_store_healthy(&reply));
        match reply {
            Ok(WriteReply::Applied(version)) => Ok(WriteOutcome::Applied(version)),
            Ok(WriteReply::Conflict(current)) => Ok(WriteOutcome::Conflict(current)),
            Err(
                CallError::NoResponse(_)
                | CallError::ConnectionLost(_)
                | CallError::Malformed { .. },
            ) => Ok(WriteOutcome::Unknown),
            Err(err) => Err(StoreError::Unavailable(err)),
        }
    }

    async fn watch(
        &self,
        class: CallClass,
        req: WatchRequest,
        deadline: Instant,
    ) -> Result<RangeReply, StoreError> {
        self.guard.admit(class, CallKind::Read, deadline).await?;
        let reply = self.watches.post(self.address, "/v1/watch", &req, deadline);
        reply.await.map_err(StoreError::NoAnswer)
    }
}

/// Returns whether a result counts as a success for the circuit breaker. A call that the store rejects as invalid, or
/// whose response is malformed, does.
fn is_store_healthy<T>(reply: &Result<T, CallError>) -> bool {
    match reply {
        Ok(_) | Err(CallError::Malformed { .. }) => true,
        Err(CallError::Refused { status, .. }) => *status < MIN_SERVER_ERROR_STATUS,
        Err(CallError::Connect(_) | CallError::NoResponse(_) | CallError::ConnectionLost(_)) => {
            false
        }
    }
}
