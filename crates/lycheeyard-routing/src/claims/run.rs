use super::{
    acquire::{AcquireOutcome, acquire},
    finish::{mark_abandoned, store_result},
    stored_answer::{to_claim_state, to_route_answer},
};
use crate::{
    RouteAnswer, RouteError, RouteRequest,
    connection::Freshness,
    exchange::{TryLimits, TryOutcome},
    router::RouterShared,
};
use lycheeyard_clients::Store;
use lycheeyard_peer::ClaimStatus;
use lycheeyard_protocol::{IdempotencyKey, Nonce, Outcome};
use lycheeyard_state::{ClaimProgress, ClaimRegistry, ClaimState, ClaimStore, HeldClaim};
use std::sync::Arc;
use tokio::time::Instant;

/// Maximum number of tries of a request; each but the first follows a try that sent nothing.
const MAX_TRIES: u32 = 4;

/// Claims a non-idempotent request and sends it at most once.
///
/// # Errors
/// Returns an error that states what is known about the request.
pub(crate) async fn run<S: Store>(
    shared: &Arc<RouterShared<S>>,
    req: &RouteRequest,
    key: &IdempotencyKey,
) -> Result<RouteAnswer, RouteError> {
    let store_key = ClaimStore::<S>::key(&req.organisation, key);
    match acquire(shared, req, &store_key).await? {
        AcquireOutcome::Held(held) => run_held(shared, req, held).await,
        AcquireOutcome::Answered(answer) => to_route_answer(answer),
    }
}

/// Returns the status of a claim of this instance, for a peer.
pub(crate) fn claim_status(registry: &ClaimRegistry, nonce: &Nonce) -> ClaimStatus {
    match registry.get(nonce) {
        Some(ClaimProgress::InProgress) => ClaimStatus::InProgress,
        Some(ClaimProgress::Abandoned) => ClaimStatus::Abandoned,
        Some(ClaimProgress::Finished) => ClaimStatus::Finished,
        None => ClaimStatus::Unknown,
    }
}

async fn run_held<S: Store>(
    shared: &Arc<RouterShared<S>>,
    req: &RouteRequest,
    held: HeldClaim,
) -> Result<RouteAnswer, RouteError> {
    let nonce = held.record.nonce.clone();
    let result = send_once(shared, req).await;
    let progress = match &result {
        Err(err) if err.outcome() == Outcome::NotRun => ClaimProgress::Abandoned,
        Ok(_) | Err(_) => ClaimProgress::Finished,
    };
    shared.claim_registry.set(&nonce, progress);
    if progress == ClaimProgress::Abandoned {
        mark_abandoned(shared, held.key, nonce);
        return result;
    }
    let state = match &result {
        Ok(answer) => to_claim_state(answer),
        Err(err) => ClaimState::Unknown {
            reason: err.to_string(),
        },
    };
    store_result(shared, held, state, req.deadline).await;
    result
}

/// Sends a request at most once; a try is repeated only if it sent nothing.
async fn send_once<S: Store>(
    shared: &Arc<RouterShared<S>>,
    req: &RouteRequest,
) -> Result<RouteAnswer, RouteError> {
    let mut avoid = None;
    let mut last_error = None;
    for _ in 0..MAX_TRIES {
        let permit = match shared.acquire_slot(req, avoid).await {
            Ok(permit) => permit,
            Err(err) => return Err(last_error.unwrap_or(err)),
        };
        avoid = Some(permit.position());
        let limits = TryLimits {
            freshness: Freshness::RecentlyVerified,
            stalled_at: req.deadline,
            deadline: req.deadline,
        };
        let (outcome, runner) = shared.exchange_with(req, permit, limits).await;
        match outcome {
            TryOutcome::Answered(answer) => {
                return Ok(answer.into_route_answer(&runner));
            }
            TryOutcome::MayHaveRun(err) => return Err(err),
            TryOutcome::NotSent(err) if Instant::now() >= req.deadline => return Err(err),
            TryOutcome::NotSent(err) => last_error = Some(err),
        }
    }
    Err(last_error.unwrap_or_else(|| RouteError::Unreachable {
        upstream: req.service.to_string(),
    }))
}
