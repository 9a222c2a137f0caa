use super::{RouterSettings, RouterShared};
use crate::{RouteAnswer, RouteError, RouteRequest, RunnerTable, claims, hop, members};
use lycheeyard_clients::Store;
use lycheeyard_peer::{ClaimStatus, Membership, RequestHandler, UsageReport};
use lycheeyard_policy::SlotRefusal;
use lycheeyard_protocol::{Nonce, OrganisationId, ServiceId};
use lycheeyard_state::Configuration;
use std::sync::{Arc, atomic::Ordering};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Routes requests to the runners of this data centre, or to another data centre if no local runner is available.
#[derive(Debug)]
pub struct Router<S> {
    pub(crate) shared: Arc<RouterShared<S>>,
}

impl<S> Clone for Router<S> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<S: Store> Router<S> {
    /// Creates a router for a table of runners.
    #[must_use]
    pub fn new(
        settings: RouterSettings,
        membership: Membership,
        runner_table: RunnerTable,
        config: watch::Receiver<Arc<Configuration>>,
        store: S,
    ) -> Self {
        let shared = RouterShared::new(settings, membership, runner_table, config, store);
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns `true` once the router has received a configuration and a non-empty list of instances.
    #[must_use]
    pub fn is_initialised(&self) -> bool {
        self.shared.is_initialised.load(Ordering::Acquire)
    }

    /// Counts a new request against its organisation's rate limit.
    ///
    /// # Errors
    /// Returns an error if the organisation is over its rate limit; the request must then not be routed.
    pub fn accept(
        &self,
        service: &ServiceId,
        organisation: &OrganisationId,
    ) -> Result<(), RouteError> {
        let accepted = self.shared.slots.accept(organisation);
        accepted.map_err(|refusal| RouteError::NoSlot {
            service: service.clone(),
            refusal,
        })
    }

    /// Sends a request to a runner and waits for its answer.
    ///
    /// # Errors
    /// Returns the reason if there is no answer; [`RouteError::outcome`] states whether the request may have run.
    pub async fn route(&self, req: RouteRequest) -> Result<RouteAnswer, RouteError> {
        let answer = self.route_here(&req).await;
        let answer = match answer {
            Err(err) if may_forward(&err) && !req.is_forwarded => {
                hop::forward(&self.shared, &req, err).await
            }
            answer => answer,
        };
        self.shared.metrics.count(&answer);
        answer
    }

    /// Keeps slots and limits up to date with members, configuration and the list of runners until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        members::run_update_loop(&self.shared, stop).await;
    }

    /// Recomputes slots and limits from the current list, members and configuration.
    pub fn refresh(&self) {
        members::refresh(&self.shared);
    }

    /// Returns the number of requests that this instance has in flight at runners of its data centre.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.shared.slots.in_flight()
    }

    async fn route_here(&self, req: &RouteRequest) -> Result<RouteAnswer, RouteError> {
        let Some(key) = req.key.clone() else {
            return self.route_idempotent(req).await;
        };
        // Runs in a task of its own, so that the result is stored for a retry even if the caller disconnects.
        let shared = self.shared.clone();
        let claimed = req.clone();
        let task = tokio::spawn(async move { claims::run(&shared, &claimed, &key).await });
        let task_failed = || RouteError::ConnectionLost {
            upstream: self.shared.settings.instance.to_string(),
        };
        task.await.unwrap_or_else(|_| Err(task_failed()))
    }
}

impl<S: Store> RequestHandler for Router<S> {
    fn exchange_usage(&self, report: UsageReport) -> UsageReport {
        members::answer_usage_report(&self.shared, report)
    }

    fn claim_status(&self, nonce: &Nonce) -> ClaimStatus {
        claims::claim_status(&self.shared.claim_registry, nonce)
    }
}

/// Returns `true` if another data centre may be able to serve the request: no local runner was available or reachable,
/// or this data centre is evacuated.
fn may_forward(err: &RouteError) -> bool {
    match err {
        RouteError::NoSlot { refusal, .. } => {
            matches!(refusal, SlotRefusal::NoRunner | SlotRefusal::Evacuated)
        }
        RouteError::Unreachable { .. } | RouteError::Evacuated(_) => true,
        _ => false,
    }
}
