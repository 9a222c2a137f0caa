use super::{
    acquire::{Acquired, acquire},
    kept::{answer_of, state_of},
    settle::{keep_result, settle_abandoned},
};
use crate::{
    RouteAnswer, RouteError, RouteRequest,
    connection::Freshness,
    exchange::{Try, TryLimits},
    router::RouterShared,
};
use lycheeyard_clients::Store;
use lycheeyard_peer::ClaimStatus;
use lycheeyard_protocol::{IdempotencyKey, Nonce, Outcome};
use lycheeyard_state::{ClaimProgress, ClaimRegistry, ClaimState, ClaimStore, HeldClaim};
use std::sync::Arc;
use tokio::time::Instant;

/// Tries that send nothing, before a request is refused.
const MAX_DIALS: u32 = 4;

/// Claims a non-idempotent request and sends it at most once.
///
/// # Errors
/// Fails with what is known of the request.
pub(crate) async fn run<S: Store>(
    shared: &Arc<RouterShared<S>>,
    req: &RouteRequest,
    key: &IdempotencyKey,
) -> Result<RouteAnswer, RouteError> {
    let place = ClaimStore::<S>::key(&req.organisation, key);
    match acquire(shared, req, &place).await? {
        Acquired::Held(held) => run_held(shared, req, held).await,
        Acquired::Answered(answer) => answer_of(answer),
    }
}

/// What a peer is told of a claim of this instance.
pub(crate) fn status(book: &ClaimRegistry, nonce: &Nonce) -> ClaimStatus {
    match book.get(nonce) {
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
    shared.book.set(&nonce, progress);
    if progress == ClaimProgress::Abandoned {
        settle_abandoned(shared, held.key, nonce);
        return result;
    }
    let state = match &result {
        Ok(answer) => state_of(answer),
        Err(err) => ClaimState::Unknown {
            reason: err.to_string(),
        },
    };
    keep_result(shared, held, state, req.deadline).await;
    result
}

/// Sends a request at most once; a try is repeated only if it certainly sent nothing.
async fn send_once<S: Store>(
    shared: &Arc<RouterShared<S>>,
    req: &RouteRequest,
) -> Result<RouteAnswer, RouteError> {
    let mut avoid = None;
    let mut refused = None;
    for _ in 0..MAX_DIALS {
        let permit = match shared.take_slot(req, avoid).await {
            Ok(permit) => permit,
            Err(err) => return Err(refused.unwrap_or(err)),
        };
        avoid = Some(permit.position());
        let limits = TryLimits {
            freshness: Freshness::JustProven,
            silent_at: req.deadline,
            deadline: req.deadline,
        };
        let (outcome, runner) = shared.exchange_with(req, permit, limits).await;
        match outcome {
            Try::Answered(answer) => {
                return Ok(answer.given_by(&runner));
            }
            Try::MayHaveRun(err) => return Err(err),
            Try::NotSent(err) if Instant::now() >= req.deadline => return Err(err),
            Try::NotSent(err) => refused = Some(err),
        }
    }
    Err(refused.unwrap_or_else(|| RouteError::Unreachable {
        upstream: req.service.to_string(),
    }))
}
