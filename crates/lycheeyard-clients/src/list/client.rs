use super::{
    InstanceDirectory,
    received_list::{OddInstances, ReceivedList},
};
use crate::{CallError, JsonClient};
use lycheeyard_protocol::platform::{InstanceList, ListRequest};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::time::Instant;

/// A client of the instance list over HTTP with JSON.
///
/// The client caches the last list with its version; the server omits a list that has not changed. Entries that cannot be read are left
/// out.
#[derive(Clone, Debug)]
pub struct HttpInstanceDirectory {
    client: JsonClient,
    address: SocketAddr,
    cached: Arc<Mutex<CachedList>>,
}

#[derive(Debug, Default)]
struct CachedList {
    version: Option<u64>,
    list: InstanceList,
    odd: OddInstances,
}

impl HttpInstanceDirectory {
    /// Creates a client of the list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: JsonClient::default(),
            address,
            cached: Arc::default(),
        }
    }

    fn apply_reply(&self, reply: &ReceivedList) -> Result<InstanceList, CallError> {
        let mut cached = self.lock();
        match &reply.instances {
            Some(instances) => {
                cached.version = reply.version;
                let instances = cached.odd.decode(instances);
                cached.list = InstanceList { instances };
            }
            None if cached.version.is_some() && cached.version == reply.version => {}
            None => {
                return Err(CallError::Malformed {
                    address: self.address,
                    reason: "the list was omitted, but its version is not the cached one"
                        .to_owned(),
                });
            }
        }
        Ok(cached.list.clone())
    }

    fn lock(&self) -> MutexGuard<'_, CachedList> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
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
        self.apply_reply(&reply)
    }
}
