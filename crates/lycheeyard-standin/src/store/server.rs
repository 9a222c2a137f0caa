use super::{StoreCounts, StoreState};
use crate::{
    Faults, JsonHandler, StandinError, StandinServer,
    http::{answer_json, bad_request, json_reply, parse},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use lycheeyard_protocol::{
    Timestamp,
    platform::{RangeRequest, WatchRequest, WriteRequest},
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

const MAX_VALUE_BYTES: usize = 1024 * 1024;
const WATCH_RANGE_LIMIT: usize = 100_000;

#[derive(Clone, Debug, Default)]
struct Shared {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

/// The stand-in for the platform's key-value store.
#[derive(Debug)]
pub struct StoreStandin {
    server: StandinServer,
    shared: Shared,
}

impl StoreStandin {
    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub async fn start() -> Result<Self, StandinError> {
        let shared = Shared::default();
        let server = StandinServer::start(shared.clone(), Faults::default()).await?;
        Ok(Self { server, shared })
    }

    /// The address of the store.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The injected failures.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// The calls executed so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().counts()
    }

    /// Reads up to 100 000 entries under a prefix directly, without the network and the injected failures.
    #[must_use]
    pub fn entries(&self, prefix: &str) -> Vec<lycheeyard_protocol::platform::KeyValue> {
        let req = RangeRequest {
            prefix: prefix.to_owned(),
            after: None,
            limit: WATCH_RANGE_LIMIT,
        };
        self.shared.lock().range(&req, Timestamp::now()).entries
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, req: WriteRequest) -> Response<Full<Bytes>> {
        let too_large = |value: &String| value.len() > MAX_VALUE_BYTES;
        if req.value.as_ref().is_some_and(too_large) {
            return bad_request("the value is larger than 1 MiB");
        }
        let reply = self.lock().write(req, Timestamp::now());
        self.changed.notify_waiters();
        json_reply(&reply)
    }

    async fn watch(&self, req: WatchRequest) -> Response<Full<Bytes>> {
        self.lock().count_watch();
        let deadline = Instant::now() + Duration::from_millis(req.wait_ms);
        loop {
            let changed = self.changed.notified();
            if self.lock().has_changes(&req.prefix, req.after_version) {
                break;
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                break;
            }
        }
        let range = RangeRequest {
            prefix: req.prefix,
            after: None,
            limit: WATCH_RANGE_LIMIT,
        };
        let mut reply = self.lock().read_for_watch(&range, Timestamp::now());
        reply
            .entries
            .retain(|entry| entry.version > req.after_version);
        json_reply(&reply)
    }
}

impl JsonHandler for Shared {
    async fn handle(&self, req: Request<Bytes>) -> Response<Full<Bytes>> {
        match req.uri().path() {
            "/v1/range" => answer_json(req.body(), |req: RangeRequest| {
                self.lock().range(&req, Timestamp::now())
            }),
            "/v1/write" => match parse(req.body()) {
                Ok(req) => self.write(req),
                Err(err) => bad_request(&err.to_string()),
            },
            "/v1/watch" => match parse(req.body()) {
                Ok(req) => self.watch(req).await,
                Err(err) => bad_request(&err.to_string()),
            },
            "/v1/counts" => json_reply(&self.lock().counts()),
            other => bad_request(&format!("unknown call {other}")),
        }
    }
}
