use super::InstanceDirectory;
use crate::{CallError, JsonClient};
use lycheeyard_protocol::platform::{InstanceList, ListReply, ListRequest};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::time::Instant;

/// The instance list over HTTP with JSON; a list that has not changed is not sent again.
#[derive(Clone, Debug)]
pub struct HttpInstanceDirectory {
    client: JsonClient,
    address: SocketAddr,
    known: Arc<Mutex<Known>>,
}

/// The last list that was read.
#[derive(Debug, Default)]
struct Known {
    version: Option<u64>,
    list: InstanceList,
}

impl HttpInstanceDirectory {
    /// Makes a client of the list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: JsonClient::default(),
            address,
            known: Arc::default(),
        }
    }

    fn take_in(&self, reply: ListReply) -> Result<InstanceList, CallError> {
        let mut known = self.lock();
        match reply.instances {
            Some(instances) => {
                known.version = reply.version;
                known.list = InstanceList { instances };
            }
            None if known.version.is_some() && known.version == reply.version => {}
            None => {
                return Err(CallError::Malformed {
                    address: self.address,
                    reason: "the list was left out though another version is known".to_owned(),
                });
            }
        }
        Ok(known.list.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InstanceDirectory for HttpInstanceDirectory {
    async fn list(&self, deadline: Instant) -> Result<InstanceList, CallError> {
        let req = ListRequest {
            known_version: self.lock().version,
        };
        let reply = self
            .client
            .post(self.address, "/v1/instances", &req, deadline)
            .await?;
        self.take_in(reply)
    }
}
