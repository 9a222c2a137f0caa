use super::{finish::mark_abandoned, run::claim_status};
use crate::{RouteError, RouteRequest, router::RouterShared};
use lycheeyard_clients::Store;
use lycheeyard_peer::{ClaimStatus, query_claim_status};
use lycheeyard_protocol::Digest;
use lycheeyard_state::{
    ClaimOutcome, ClaimProgress, ClaimRecord, ClaimState, ExistingClaim, HeldClaim, StateError,
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep_until};

/// Timeout of the write of a claim to the store.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a status query to the instance that made a claim.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time within which a result must be in the store, from when its request is first found to have ended.
const RESULT_GRACE: Duration = Duration::from_secs(1);

/// The outcome of claiming a request.
pub(super) enum AcquireOutcome {
    /// This instance holds the claim and may send the request.
    Held(HeldClaim),
    /// An earlier call ran the request, with this result.
    Answered(ClaimState),
}

/// How to proceed with an existing claim.
enum NextStep {
    Replace,
    Answered(ClaimState),
    Reject(RouteError),
    Wait,
    /// The request has ended; its result should appear in the store soon.
    WaitForResult,
}

/// Claims a request, or determines the result of an earlier call.
///
/// # Errors
/// Returns an error if the request must not be sent; it states what is known about the request.
pub(super) async fn acquire<S: Store>(
    shared: &Arc<RouterShared<S>>,
    req: &RouteRequest,
    store_key: &str,
) -> Result<AcquireOutcome, RouteError> {
    let digest = req.digest();
    let mut outcome = create_claim(shared, store_key, &digest, req.deadline).await?;
    let mut result_deadline = None;
    loop {
        let existing = match outcome {
            ClaimOutcome::Held(held) => return Ok(AcquireOutcome::Held(held)),
            ClaimOutcome::Unconfirmed => return Err(RouteError::ClaimUnconfirmed),
            ClaimOutcome::Existing(existing) => existing,
        };
        match next_step(shared, &existing, &digest, req.deadline).await {
            NextStep::Replace => {
                outcome = replace_claim(shared, &existing, &digest, req.deadline).await?;
                continue;
            }
            NextStep::Answered(state) => return Ok(AcquireOutcome::Answered(state)),
            NextStep::Reject(err) => return Err(err),
            NextStep::Wait => {}
            NextStep::WaitForResult => {
                let deadline =
                    *result_deadline.get_or_insert_with(|| Instant::now() + RESULT_GRACE);
                if Instant::now() >= deadline {
                    let detail = "it has ended, and its result is not in the store yet";
                    return Err(earlier_call_error(&existing.record, detail, true));
                }
            }
        }
        outcome = poll_claim(shared, existing, req.deadline).await?;
    }
}

/// Reads the claim again after [`POLL_INTERVAL`]; if the read fails, returns the claim as last read.
async fn poll_claim<S: Store>(
    shared: &Arc<RouterShared<S>>,
    existing: ExistingClaim,
    deadline: Instant,
) -> Result<ClaimOutcome, RouteError> {
    let poll_at = Instant::now() + POLL_INTERVAL;
    if poll_at >= deadline {
        return Err(earlier_call_error(
            &existing.record,
            "it is still running",
            true,
        ));
    }
    sleep_until(poll_at).await;
    let read = shared.claims.read(&existing.key, deadline).await;
    match read {
        Ok(Some(next)) => Ok(ClaimOutcome::Existing(next)),
        Ok(None) | Err(_) => Ok(ClaimOutcome::Existing(existing)),
    }
}

async fn next_step<S: Store>(
    shared: &Arc<RouterShared<S>>,
    existing: &ExistingClaim,
    digest: &Digest,
    deadline: Instant,
) -> NextStep {
    let record = &existing.record;
    if record.digest != *digest {
        return NextStep::Reject(RouteError::KeyReused);
    }
    match &record.state {
        ClaimState::Abandoned => NextStep::Replace,
        ClaimState::Answered(_) | ClaimState::AnsweredTooLarge { .. } => {
            NextStep::Answered(record.state.clone())
        }
        ClaimState::Unknown { reason } => {
            NextStep::Reject(earlier_call_error(record, reason, false))
        }
        ClaimState::Claimed => match query_status(shared, record, deadline).await {
            Some(ClaimStatus::Abandoned) => NextStep::Replace,
            Some(ClaimStatus::InProgress) => NextStep::Wait,
            Some(ClaimStatus::Finished) => NextStep::WaitForResult,
            Some(ClaimStatus::Unknown) => {
                let detail = "that instance knows nothing of it any more";
                NextStep::Reject(earlier_call_error(record, detail, false))
            }
            None => {
                let detail = "that instance cannot be reached";
                NextStep::Reject(earlier_call_error(record, detail, true))
            }
        },
    }
}

async fn query_status<S: Store>(
    shared: &Arc<RouterShared<S>>,
    record: &ClaimRecord,
    deadline: Instant,
) -> Option<ClaimStatus> {
    if record.claimed_by == shared.settings.instance {
        return Some(claim_status(&shared.claim_registry, &record.nonce));
    }
    let entries = shared.runner_table.entry_instances();
    let claimant = entries
        .iter()
        .find(|entry| entry.instance == record.claimed_by)?;
    let call_deadline = deadline.min(Instant::now() + PEER_TIMEOUT);
    let status = query_claim_status(claimant.peer_address?, record.nonce.clone(), call_deadline);
    // Whatever the reason, without an answer the claim counts as unresolved.
    status.await.ok()
}

async fn create_claim<S: Store>(
    shared: &Arc<RouterShared<S>>,
    store_key: &str,
    digest: &Digest,
    deadline: Instant,
) -> Result<ClaimOutcome, RouteError> {
    let record = prepare_record(shared, digest)?;
    let call_deadline = claim_deadline(deadline);
    let outcome = shared
        .claims
        .create(store_key, &record, call_deadline)
        .await;
    record_attempt(shared, store_key, &record, outcome)
}

async fn replace_claim<S: Store>(
    shared: &Arc<RouterShared<S>>,
    existing: &ExistingClaim,
    digest: &Digest,
    deadline: Instant,
) -> Result<ClaimOutcome, RouteError> {
    let record = prepare_record(shared, digest)?;
    let call_deadline = claim_deadline(deadline);
    let outcome = shared
        .claims
        .replace(existing, &record, call_deadline)
        .await;
    record_attempt(shared, &existing.key, &record, outcome)
}

/// Creates a claim and registers it as in progress before it can appear in the store.
fn prepare_record<S: Store>(
    shared: &Arc<RouterShared<S>>,
    digest: &Digest,
) -> Result<ClaimRecord, RouteError> {
    let record = shared.claims.prepare(digest.clone());
    let record = record.map_err(RouteError::ClaimFailed)?;
    shared
        .claim_registry
        .set(&record.nonce, ClaimProgress::InProgress);
    Ok(record)
}

/// Marks a claim as abandoned for good unless this instance holds it, even if it may still appear in the store.
fn record_attempt<S: Store>(
    shared: &Arc<RouterShared<S>>,
    store_key: &str,
    record: &ClaimRecord,
    outcome: Result<ClaimOutcome, StateError>,
) -> Result<ClaimOutcome, RouteError> {
    if !matches!(outcome, Ok(ClaimOutcome::Held(_))) {
        shared
            .claim_registry
            .set(&record.nonce, ClaimProgress::Abandoned);
    }
    if matches!(outcome, Ok(ClaimOutcome::Unconfirmed)) {
        mark_abandoned(shared, store_key.to_owned(), record.nonce.clone());
    }
    outcome.map_err(RouteError::ClaimFailed)
}

fn claim_deadline(deadline: Instant) -> Instant {
    deadline.min(Instant::now() + CLAIM_TIMEOUT)
}

fn earlier_call_error(record: &ClaimRecord, detail: &str, may_resolve: bool) -> RouteError {
    RouteError::EarlierCall {
        instance: record.claimed_by.to_string(),
        since: record.claimed_at,
        detail: detail.to_owned(),
        may_resolve,
    }
}
