use crate::{
    Faults, JsonHandler, StandinError, StandinServer,
    http::{answer_json, bad_request, json_reply},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use lycheeyard_protocol::{Instance, InstanceState, Timestamp, platform::InstanceList};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

#[derive(Debug, Default)]
struct History {
    present: BTreeMap<String, Instance>,
    published: Vec<(Timestamp, InstanceList)>,
}

#[derive(Clone, Debug)]
struct Shared {
    history: Arc<Mutex<History>>,
    lag: Duration,
}

/// The stand-in for the platform's list of live and leaving instances, which shows the past.
#[derive(Debug)]
pub struct ListStandin {
    server: StandinServer,
    shared: Shared,
}

impl ListStandin {
    /// Starts a list that shows its content of `lag` ago.
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

    /// The fault switches.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Adds an instance or replaces the one of the same name.
    pub fn put(&self, instance: Instance) {
        self.shared.put(instance);
    }

    /// Every instance as it is now, without the lag.
    #[must_use]
    pub fn present(&self) -> Vec<Instance> {
        self.shared.lock().present.values().cloned().collect()
    }

    /// Marks an instance as leaving; unknown names are ignored.
    pub fn leave(&self, name: &str) {
        self.shared.change(|present| {
            if let Some(instance) = present.get_mut(name) {
                instance.state = InstanceState::Leaving;
            }
        });
    }

    /// Removes an instance; unknown names are ignored.
    pub fn remove(&self, name: &str) {
        self.shared.change(|present| {
            present.remove(name);
        });
    }
}

impl Shared {
    fn put(&self, instance: Instance) {
        self.change(|present| {
            present.insert(instance.name.clone(), instance);
        });
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut BTreeMap<String, Instance>)) {
        let mut history = self.lock();
        change(&mut history.present);
        let list = InstanceList {
            instances: history.present.values().cloned().collect(),
        };
        history.published.push((Timestamp::now(), list));
    }

    fn visible(&self) -> InstanceList {
        let now = Timestamp::now();
        let mut history = self.lock();
        let seen = history
            .published
            .partition_point(|(at, _)| now.since(*at) >= self.lag);
        if seen == 0 {
            return InstanceList::default();
        }
        history.published.drain(..seen - 1);
        history.published[0].1.clone()
    }
}

impl JsonHandler for Shared {
    async fn handle(&self, req: Request<Bytes>) -> Response<Full<Bytes>> {
        match req.uri().path() {
            "/v1/instances" => json_reply(&self.visible()),
            "/standin/put" => answer_json(req.body(), |instance| {
                self.put(instance);
                self.visible()
            }),
            other => bad_request(&format!("unknown call {other}")),
        }
    }
}
