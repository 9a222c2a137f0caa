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

/// How long a call on a used connection waits before the connection counts as silent.
const USED_CONNECTION_WAIT: Duration = Duration::from_millis(700);
/// The first HTTP status that says that the server is at fault.
const SERVER_ERROR: u16 = 500;
const MAX_READ_TRIES: usize = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The store over HTTP with JSON.
///
/// All clones share one set of connections, this instance's share of the store's rates, and what is known
/// of the store's health.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: JsonClient,
    watches: JsonClient,
    guard: Guard,
    address: SocketAddr,
}

impl HttpStore {
    /// Makes a client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: JsonClient::with_reuse(ConnectionReuse::Limited(USED_CONNECTION_WAIT)),
            watches: JsonClient::with_reuse(ConnectionReuse::Never),
            guard: Guard::new(),
            address,
        }
    }

    /// Sets this instance's share of the store's rates by the size of the fleet.
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
        self.guard.note(class, is_answered(&reply));
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
        let mut tries = 1;
        loop {
            let reply = self.try_range(class, &req, deadline).await;
            // A lost read may have met a silent connection; those are closed by now.
            let is_lost = matches!(reply, Err(StoreError::NoAnswer(CallError::NoResponse(_))));
            if !is_lost || tries == MAX_READ_TRIES || Instant::now() + RETRY_PAUSE >= deadline {
                return reply;
            }
            tries += 1;
            let jitter: f64 = rand::random_range(0.5..1.0);
            sleep(RETRY_PAUSE.mul_f64(jitter)).await;
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
        self.guard.note(class, is_answered(&reply));
        match reply {
            Ok(WriteReply::Applied(version)) => Ok(WriteOutcome::Applied(version)),
            Ok(WriteReply::Conflict(present)) => Ok(WriteOutcome::Conflict(present)),
            Err(CallError::NoResponse(_) | CallError::Malformed { .. }) => {
                Ok(WriteOutcome::Unknown)
            }
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

/// Whether the store is in order, be it that this one call was at fault.
fn is_answered<T>(reply: &Result<T, CallError>) -> bool {
    match reply {
        Ok(_) | Err(CallError::Malformed { .. }) => true,
        Err(CallError::Refused { status, .. }) => *status < SERVER_ERROR,
        Err(CallError::Connect(_) | CallError::NoResponse(_)) => false,
    }
}
