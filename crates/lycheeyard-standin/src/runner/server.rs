use super::RunnerCounts;
use crate::{Faults, JsonHandler, StandinError, StandinServer, http::json_reply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header::HeaderValue};
use lycheeyard_protocol::{RunnerId, Slots};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::Semaphore;

const SLOTS: u32 = 8;
const CONNECTIONS: usize = 64;
const WORK_HEADER: &str = "standin-work-us";
const KEY_HEADER: &str = "idempotency-key";
const STATE_HEADER: &str = "lycheeyard-runner-state";
const RUNNER_HEADER: &str = "lycheeyard-runner";

#[derive(Clone, Debug)]
struct Shared {
    id: RunnerId,
    counts: Arc<Mutex<RunnerCounts>>,
    slots: Arc<Semaphore>,
    slot_count: Slots,
    work: Duration,
    leaving: Arc<Mutex<bool>>,
}

/// The stand-in for one runner, which answers each request with the request's own body.
#[derive(Debug)]
pub struct RunnerStandin {
    server: StandinServer,
    shared: Shared,
}

impl RunnerStandin {
    /// Starts a runner on a free loopback port. Each request takes `work`, unless its header `standin-work-us` sets
    /// another time.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub async fn start(id: RunnerId, work: Duration) -> Result<Self, StandinError> {
        let shared = Shared {
            id,
            counts: Arc::default(),
            slots: Arc::new(Semaphore::new(SLOTS as usize)),
            slot_count: Slots(SLOTS),
            work,
            leaving: Arc::default(),
        };
        let server = StandinServer::start(shared.clone(), Faults::default()).await?;
        Ok(Self { server, shared })
    }

    /// The address of the runner.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The injected failures.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Stops the runner at once and closes its connections.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Makes the runner announce in each response that it is leaving.
    pub fn leave(&self) {
        *lock(&self.shared.leaving) = true;
    }

    /// The counters so far.
    #[must_use]
    pub fn counts(&self) -> RunnerCounts {
        lock(&self.shared.counts).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn begin(&self, key: Option<String>) {
        let mut counts = lock(&self.counts);
        counts.begun += 1;
        counts.running += 1;
        counts.peak = counts.peak.max(counts.running);
        if counts.running > self.slot_count.0 {
            counts.over_slots += 1;
        }
        if let Some(key) = key {
            *counts.by_key.entry(key).or_default() += 1;
        }
    }

    fn end(&self) {
        lock(&self.counts).running -= 1;
    }
}

/// Counts a request as ended on drop, so that requests whose connection breaks are counted too.
struct RunningGuard(Shared);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}

impl JsonHandler for Shared {
    async fn handle(&self, req: Request<Bytes>) -> Response<Full<Bytes>> {
        if req.uri().path() == "/standin/counts" {
            return json_reply(&*lock(&self.counts));
        }
        let header = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
        let work = header(WORK_HEADER)
            .and_then(|us| us.parse().ok())
            .map_or(self.work, Duration::from_micros);
        self.begin(header(KEY_HEADER).map(str::to_owned));
        let running = RunningGuard(self.clone());
        let slot = self.slots.acquire().await;
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        drop(slot);
        drop(running);
        let mut reply = Response::new(Full::new(req.into_body()));
        if let Ok(value) = HeaderValue::from_str(self.id.as_str()) {
            reply.headers_mut().insert(RUNNER_HEADER, value);
        }
        if *lock(&self.leaving) {
            let leaving = HeaderValue::from_static("leaving");
            reply.headers_mut().insert(STATE_HEADER, leaving);
        }
        reply
    }

    fn connection_limit(&self) -> Option<usize> {
        Some(CONNECTIONS)
    }
}
