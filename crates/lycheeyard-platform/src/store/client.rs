use super::{CallClass, Store, StoreError, WriteOutcome};
use crate::{CallError, JsonClient};
use lycheeyard_protocol::platform::{
    RangeReply, RangeRequest, WatchRequest, WriteReply, WriteRequest,
};
use std::net::SocketAddr;
use tokio::time::Instant;

/// The store over HTTP with JSON.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: JsonClient,
    address: SocketAddr,
}

impl HttpStore {
    /// Makes a client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: JsonClient::default(),
            address,
        }
    }
}

impl Store for HttpStore {
    async fn range(
        &self,
        _class: CallClass,
        req: RangeRequest,
        deadline: Instant,
    ) -> Result<RangeReply, StoreError> {
        let reply = self.client.post(self.address, "/v1/range", &req, deadline);
        reply.await.map_err(StoreError::NoAnswer)
    }

    async fn write(
        &self,
        _class: CallClass,
        req: WriteRequest,
        deadline: Instant,
    ) -> Result<WriteOutcome, StoreError> {
        let reply = self.client.post(self.address, "/v1/write", &req, deadline);
        match reply.await {
            Ok(WriteReply::Applied(version)) => Ok(WriteOutcome::Applied(version)),
            Ok(WriteReply::Conflict(present)) => Ok(WriteOutcome::Conflict(present)),
            Err(err) if err.is_certain() => Err(StoreError::Unavailable(err)),
            Err(CallError::Lost(_) | CallError::Malformed { .. }) => Ok(WriteOutcome::Unknown),
            Err(err) => Err(StoreError::Unavailable(err)),
        }
    }

    async fn watch(
        &self,
        _class: CallClass,
        req: WatchRequest,
        deadline: Instant,
    ) -> Result<RangeReply, StoreError> {
        let reply = self.client.post(self.address, "/v1/watch", &req, deadline);
        reply.await.map_err(StoreError::NoAnswer)
    }
}
