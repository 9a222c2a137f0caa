use super::WorkerState;
use crate::{
    Faults, JsonHandler, StandinError, StandinServer,
    http::{answer_json, bad_request, json_reply},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use lycheeyard_protocol::{Timestamp, WorkerId, platform::WorkerReport};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

#[derive(Clone, Debug)]
struct Shared {
    state: Arc<Mutex<WorkerState>>,
    faults: Faults,
}

/// The stand-in for one worker.
#[derive(Debug)]
pub struct WorkerStandin {
    server: StandinServer,
    shared: Shared,
}

impl WorkerStandin {
    /// Starts an idle worker on a free loopback port.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub async fn start(worker: WorkerId, accelerators: u16) -> Result<Self, StandinError> {
        let faults = Faults::default();
        let shared = Shared {
            state: Arc::new(Mutex::new(WorkerState::new(worker, accelerators))),
            faults: faults.clone(),
        };
        let server = StandinServer::start(shared.clone(), faults).await?;
        Ok(Self { server, shared })
    }

    /// The address of the worker.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The injected failures.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Drops all tasks, as a restart of the machine does.
    pub fn restart(&self) {
        self.shared.lock().restart();
    }

    /// The worker's report, read directly without the network and the injected failures.
    #[must_use]
    pub fn report(&self) -> WorkerReport {
        self.shared.lock().report(Timestamp::now())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl JsonHandler for Shared {
    async fn handle(&self, req: Request<Bytes>) -> Response<Full<Bytes>> {
        let now = Timestamp::now();
        let fail = self.faults.settings().fail_tasks;
        let body = req.body();
        match req.uri().path() {
            "/v1/prepare" => answer_json(body, |req| self.lock().prepare(req, now)),
            "/v1/start" => answer_json(body, |req| self.lock().start(&req, fail, now)),
            "/v1/stop" => answer_json(body, |req| self.lock().stop(&req, now)),
            "/v1/renew" => answer_json(body, |req| self.lock().renew(&req, now)),
            "/v1/report" => json_reply(&self.lock().report(now)),
            other => bad_request(&format!("unknown call {other}")),
        }
    }
}
