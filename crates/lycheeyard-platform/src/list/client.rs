use super::InstanceDirectory;
use crate::{CallError, JsonClient};
use lycheeyard_protocol::platform::InstanceList;
use std::net::SocketAddr;
use tokio::time::Instant;

/// The instance list over HTTP with JSON.
#[derive(Clone, Debug)]
pub struct HttpInstanceDirectory {
    client: JsonClient,
    address: SocketAddr,
}

impl HttpInstanceDirectory {
    /// Makes a client of the list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: JsonClient::default(),
            address,
        }
    }
}

impl InstanceDirectory for HttpInstanceDirectory {
    async fn list(&self, deadline: Instant) -> Result<InstanceList, CallError> {
        self.client
            .post(self.address, "/v1/instances", &(), deadline)
            .await
    }
}
