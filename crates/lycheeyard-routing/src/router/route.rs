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

/// Routes requests to the runners of this data centre.
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
    /// Makes a router over a table of runners.
    #[must_use]
    pub fn new(
        settings: RouterSettings,
        membership: Membership,
        table: RunnerTable,
        config: watch::Receiver<Arc<Configuration>>,
        store: S,
    ) -> Self {
        let shared = RouterShared::new(settings, membership, table, config, store);
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Whether the router has taken in a configuration and a list of runners.
    #[must_use]
    pub fn is_initialised(&self) -> bool {
        self.shared.informed.load(Ordering::Acquire)
    }

    /// Counts a new request against its organisation's rate.
    ///
    /// # Errors
    /// Fails when the organisation is over its rate; the request is then not to be routed.
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
    /// Fails with the reason; [`RouteError::problem`] tells whether the request may have run.
    pub async fn route(&self, req: RouteRequest) -> Result<RouteAnswer, RouteError> {
        members::catch_up(&self.shared);
        let answer = self.route_here(&req).await;
        let answer = match answer {
            Err(err) if may_hop(&err) && !req.hopped => hop::pass_on(&self.shared, &req, err).await,
            answer => answer,
        };
        self.shared.metrics.count(&answer);
        answer
    }

    /// Follows members, limits and the list of runners until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        members::follow(&self.shared, stop).await;
    }

    /// Takes the present list, members and configuration into account at once.
    pub fn refresh(&self) {
        members::refresh(&self.shared);
    }

    async fn route_here(&self, req: &RouteRequest) -> Result<RouteAnswer, RouteError> {
        let Some(key) = req.key.clone() else {
            return self.route_idempotent(req).await;
        };
        // The request goes on when its caller leaves, so that its result is kept for the caller's retry.
        let shared = self.shared.clone();
        let claimed = req.clone();
        let task = tokio::spawn(async move { claims::run(&shared, &claimed, &key).await });
        let lost = || RouteError::BrokenOff {
            upstream: self.shared.settings.instance.to_string(),
        };
        task.await.unwrap_or_else(|_| Err(lost()))
    }
}

impl<S: Store> RequestHandler for Router<S> {
    fn exchange_usage(&self, pulse: UsageReport) -> UsageReport {
        members::answer_pulse(&self.shared, pulse)
    }

    fn claim_status(&self, nonce: &Nonce) -> ClaimStatus {
        claims::status(&self.shared.book, nonce)
    }
}

/// Whether another data centre may be able to do what this one cannot.
fn may_hop(err: &RouteError) -> bool {
    match err {
        RouteError::NoSlot { refusal, .. } => *refusal == SlotRefusal::NoRunner,
        RouteError::Unreachable { .. } => true,
        _ => false,
    }
}
