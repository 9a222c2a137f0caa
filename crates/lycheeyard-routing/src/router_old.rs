use crate::{RouteAnswer, RouteError, RouteRequest, Runner, RunnerTable, runner::InFlight};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use lycheeyard_peer::Membership;
use lycheeyard_policy::{RunnerLoad, choose_runner};
use lycheeyard_protocol::{DataCentreId, Slots};
use std::{sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{Instant, timeout_at},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const RUNNER_STATE_HEADER: &str = "lycheeyard-runner-state";

/// Routes requests to the runners of this data centre.
#[derive(Clone, Debug)]
pub struct Router {
    data_centre: DataCentreId,
    membership: Membership,
    table: RunnerTable,
    freed: Arc<Notify>,
}

/// What one try at a runner came to.
enum Try {
    Answered(RouteAnswer),
    NotSent(RouteError),
    MayHaveRun(RouteError),
}

impl Router {
    /// Makes a router over a table of runners.
    #[must_use]
    pub fn new(data_centre: DataCentreId, membership: Membership, table: RunnerTable) -> Self {
        Self {
            data_centre,
            membership,
            table,
            freed: Arc::default(),
        }
    }

    /// Sends a request to a runner and waits for its whole answer.
    ///
    /// # Errors
    /// Fails with the reason; [`RouteError::problem`] tells whether the request may have run.
    pub async fn route(&self, req: &RouteRequest, slots: Slots) -> Result<RouteAnswer, RouteError> {
        if !req.idempotent {
            return Err(RouteError::ClaimsUnsupported);
        }
        loop {
            let (runner, in_flight) = self.wait_for_slot(req, slots).await?;
            let outcome = self.try_runner(&runner, req).await;
            drop(in_flight);
            self.freed.notify_waiters();
            match outcome {
                Try::Answered(answer) => return Ok(answer),
                Try::NotSent(err) | Try::MayHaveRun(err) if req.deadline <= Instant::now() => {
                    return Err(err);
                }
                Try::NotSent(_) | Try::MayHaveRun(_) => {}
            }
        }
    }

    async fn wait_for_slot(
        &self,
        req: &RouteRequest,
        slots: Slots,
    ) -> Result<(Runner, InFlight), RouteError> {
        loop {
            let freed = self.freed.notified();
            let runners = self.table.live(&req.service);
            if runners.is_empty() {
                return Err(RouteError::NoRunner(req.service.clone()));
            }
            let share = self.share(slots);
            let loads: Vec<RunnerLoad> = runners
                .iter()
                .map(|runner| RunnerLoad {
                    in_flight: runner.in_flight(),
                    share,
                })
                .collect();
            if let Some(index) = choose_runner(&loads) {
                let runner = runners[index].clone();
                let in_flight = runner.begin();
                return Ok((runner, in_flight));
            }
            if timeout_at(req.deadline, freed).await.is_err() {
                return Err(RouteError::NoSlot(req.service.clone()));
            }
        }
    }

    fn share(&self, slots: Slots) -> u32 {
        let live = self.membership.live_in(&self.data_centre) + 1;
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        (slots.0 / live).max(1)
    }

    async fn try_runner(&self, runner: &Runner, req: &RouteRequest) -> Try {
        let id = || runner.id.clone();
        let connect_until = req.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connected = timeout_at(connect_until, TcpStream::connect(runner.address)).await;
        let Ok(Ok(stream)) = connected else {
            return Try::NotSent(RouteError::Unreachable(id()));
        };
        let _ = stream.set_nodelay(true);
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            return Try::NotSent(RouteError::Unreachable(id()));
        };
        let driver = tokio::spawn(connection);
        let exchange = async {
            let reply = sender.send_request(upstream_request(runner, req)).await?;
            let (parts, body) = reply.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>((parts, body))
        };
        let outcome = timeout_at(req.deadline, exchange).await;
        driver.abort();
        match outcome {
            Err(_) => Try::MayHaveRun(RouteError::TimedOut(id())),
            Ok(Err(_)) => Try::MayHaveRun(RouteError::BrokenOff(id())),
            Ok(Ok((parts, body))) => {
                if parts.headers.contains_key(RUNNER_STATE_HEADER) {
                    self.table.mark_leaving(runner);
                }
                Try::Answered(RouteAnswer {
                    runner: id(),
                    status: parts.status,
                    headers: parts.headers,
                    body,
                })
            }
        }
    }
}

fn upstream_request(runner: &Runner, req: &RouteRequest) -> Request<Full<Bytes>> {
    let mut upstream = Request::new(Full::new(req.body.clone()));
    *upstream.method_mut() = req.method.clone();
    *upstream.uri_mut() = req.path.parse().unwrap_or_default();
    *upstream.headers_mut() = req.headers.clone();
    if let Ok(host) = runner.address.to_string().parse() {
        upstream.headers_mut().insert(HOST, host);
    }
    upstream
}
