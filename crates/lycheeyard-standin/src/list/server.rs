use crate::{
    Faults, JsonHandler, StandinError, StandinServer,
    http::{answer_json, bad_request},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use lycheeyard_protocol::{
    Instance, InstanceState, Timestamp,
    platform::{InstanceList, ListReply, ListRequest},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

#[derive(Debug, Default)]
struct History {
    current: BTreeMap<String, Instance>,
    changes: u64,
    published: Vec<Published>,
}

/// A version of the list and the time when it became current.
#[derive(Clone, Debug)]
struct Published {
    at: Timestamp,
    version: u64,
    list: InstanceList,
}

#[derive(Clone, Debug)]
struct Shared {
    history: Arc<Mutex<History>>,
    lag: Duration,
}

/// The stand-in for the platform's list of live and leaving instances.
///
/// It answers with the list as it was a fixed lag ago.
#[derive(Debug)]
pub struct ListStandin {
    server: StandinServer,
    shared: Shared,
}

impl ListStandin {
    /// Starts an empty list whose changes become visible after `lag`.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub async fn start(lag: Duration) -> Result<Self, StandinError> {
        let shared = Shared {
            history: Arc::default(),
            lag,
        };
        let server = StandinServer::start(shared.clone(), Faults::default()).await?;
        Ok(Self { server, shared })
    }

    /// The address of the list.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The injected failures.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Adds an instance or replaces the one of the same name.
    pub fn put(&self, instance: Instance) {
        self.shared.put(instance);
    }

    /// All listed instances, without the lag.
    #[must_use]
    pub fn present(&self) -> Vec<Instance> {
        self.shared.lock().current.values().cloned().collect()
    }

    /// Marks an instance as leaving; unknown names are ignored.
    pub fn leave(&self, name: &str) {
        self.shared.change(|instances| {
            if let Some(instance) = instances.get_mut(name) {
                instance.state = InstanceState::Leaving;
            }
        });
    }

    /// Removes an instance; unknown names are ignored.
    pub fn remove(&self, name: &str) {
        self.shared.change(|instances| {
            instances.remove(name);
        });
    }
}

impl Shared {
    fn put(&self, instance: Instance) {
        self.change(|instances| {
            instances.insert(instance.name.clone(), instance);
        });
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut BTreeMap<String, Instance>)) {
        let mut history = self.lock();
        change(&mut history.current);
        history.changes += 1;
        let list = InstanceList {
            instances: history.current.values().cloned().collect(),
        };
        let version = history.changes;
        history.published.push(Published {
            at: Timestamp::now(),
            version,
            list,
        });
    }

    fn visible(&self) -> Option<Published> {
        let now = Timestamp::now();
        let mut history = self.lock();
        let visible = history
            .published
            .partition_point(|published| now.since(published.at) >= self.lag);
        if visible == 0 {
            return None;
        }
        history.published.drain(..visible - 1);
        history.published.first().cloned()
    }

    fn answer(&self, req: ListRequest) -> ListReply {
        let Some(visible) = self.visible() else {
            return ListReply {
                version: None,
                instances: Some(Vec::new()),
            };
        };
        let is_unchanged = req.known_version == Some(visible.version);
        ListReply {
            version: Some(visible.version),
            instances: (!is_unchanged).then_some(visible.list.instances),
        }
    }
}

impl JsonHandler for Shared {
    async fn handle(&self, req: Request<Bytes>) -> Response<Full<Bytes>> {
        match req.uri().path() {
            "/v1/instances" => answer_json(req.body(), |req| self.answer(req)),
            "/standin/put" => answer_json(req.body(), |instance| {
                self.put(instance);
                self.answer(ListRequest::default())
            }),
            other => bad_request(&format!("unknown call {other}")),
        }
    }
}
