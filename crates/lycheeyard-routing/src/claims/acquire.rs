use super::{run::status, settle::settle_abandoned};
use crate::{RouteError, RouteRequest, router::RouterShared};
use lycheeyard_clients::Store;
use lycheeyard_peer::{ClaimStatus, query_claim_status};
use lycheeyard_protocol::Digest;
use lycheeyard_state::{
    ClaimOutcome, ClaimProgress, ClaimRecord, ClaimState, ExistingClaim, HeldClaim, StateError,
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep_until};

/// The longest wait for the store's answer to a claim.
const CLAIM_CALL: Duration = Duration::from_secs(2);
const ASK_PEER: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(50);
/// How long after the end of a request its result may be missing in the store.
const RESULT_GRACE: Duration = Duration::from_secs(1);

/// What claiming came to.
pub(super) enum Acquired {
    /// The request may be sent.
    Held(HeldClaim),
    /// An earlier call ran it; this is its result.
    Answered(ClaimState),
}

/// What follows from a claim that was made before.
enum Verdict {
    Replace,
    Answered(ClaimState),
    Refuse(RouteError),
    WaitFor,
    WaitForResult,
}

/// Claims a request, or finds out what an earlier call made of it.
///
/// # Errors
/// Fails when the request must not be sent, with what is known of it.
pub(super) async fn acquire<S: Store>(
    shared: &Arc<RouterShared<S>>,
    req: &RouteRequest,
    place: &str,
) -> Result<Acquired, RouteError> {
    let digest = req.digest();
    let mut step = create(shared, place, &digest, req.deadline).await?;
    let mut result_due = None;
    loop {
        let present = match step {
            ClaimOutcome::Held(held) => return Ok(Acquired::Held(held)),
            ClaimOutcome::Unresolved => return Err(RouteError::ClaimDoubtful),
            ClaimOutcome::Existing(present) => present,
        };
        match examine(shared, &present, &digest, req.deadline).await {
            Verdict::Replace => {
                step = replace(shared, &present, &digest, req.deadline).await?;
                continue;
            }
            Verdict::Answered(state) => return Ok(Acquired::Answered(state)),
            Verdict::Refuse(err) => return Err(err),
            Verdict::WaitFor => {}
            Verdict::WaitForResult => {
                let due = *result_due.get_or_insert_with(|| Instant::now() + RESULT_GRACE);
                if Instant::now() >= due {
                    let known = "it has ended, and its result is not in the store yet";
                    return Err(earlier(&present.record, known, true));
                }
            }
        }
        step = wait(shared, present, req.deadline).await?;
    }
}

/// Waits a little and reads the claim again.
async fn wait<S: Store>(
    shared: &Arc<RouterShared<S>>,
    present: ExistingClaim,
    deadline: Instant,
) -> Result<ClaimOutcome, RouteError> {
    let again_at = Instant::now() + POLL;
    if again_at >= deadline {
        return Err(earlier(&present.record, "it is still running", true));
    }
    sleep_until(again_at).await;
    let read = shared.claims.read(&present.key, deadline).await;
    match read {
        Ok(Some(next)) => Ok(ClaimOutcome::Existing(next)),
        Ok(None) | Err(_) => Ok(ClaimOutcome::Existing(present)),
    }
}

async fn examine<S: Store>(
    shared: &Arc<RouterShared<S>>,
    present: &ExistingClaim,
    digest: &Digest,
    deadline: Instant,
) -> Verdict {
    let record = &present.record;
    if record.digest != *digest {
        return Verdict::Refuse(RouteError::KeyReused);
    }
    match &record.state {
        ClaimState::Abandoned => Verdict::Replace,
        ClaimState::Answered(_) | ClaimState::AnsweredTooLarge { .. } => {
            Verdict::Answered(record.state.clone())
        }
        ClaimState::Unknown { reason } => Verdict::Refuse(earlier(record, reason, false)),
        ClaimState::Claimed => match ask(shared, record, deadline).await {
            Some(ClaimStatus::Abandoned) => Verdict::Replace,
            Some(ClaimStatus::InProgress) => Verdict::WaitFor,
            Some(ClaimStatus::Finished) => Verdict::WaitForResult,
            Some(ClaimStatus::Unknown) => {
                let known = "that instance knows nothing of it any more";
                Verdict::Refuse(earlier(record, known, false))
            }
            None => {
                let known = "that instance cannot be reached";
                Verdict::Refuse(earlier(record, known, true))
            }
        },
    }
}

async fn ask<S: Store>(
    shared: &Arc<RouterShared<S>>,
    record: &ClaimRecord,
    deadline: Instant,
) -> Option<ClaimStatus> {
    if record.claimed_by == shared.settings.instance {
        return Some(status(&shared.book, &record.nonce));
    }
    let entries = shared.table.entries();
    let claimer = entries
        .iter()
        .find(|entry| entry.instance == record.claimed_by)?;
    let until = deadline.min(Instant::now() + ASK_PEER);
    let asked = query_claim_status(claimer.peer_address?, record.nonce.clone(), until);
    asked.await.ok()
}

async fn create<S: Store>(
    shared: &Arc<RouterShared<S>>,
    place: &str,
    digest: &Digest,
    deadline: Instant,
) -> Result<ClaimOutcome, RouteError> {
    let record = prepare(shared, digest)?;
    let until = claim_until(deadline);
    let step = shared.claims.create(place, &record, until).await;
    conclude(shared, place, &record, step)
}

async fn replace<S: Store>(
    shared: &Arc<RouterShared<S>>,
    present: &ExistingClaim,
    digest: &Digest,
    deadline: Instant,
) -> Result<ClaimOutcome, RouteError> {
    let record = prepare(shared, digest)?;
    let until = claim_until(deadline);
    let step = shared.claims.replace(present, &record, until).await;
    conclude(shared, &present.key, &record, step)
}

/// Writes the new claim into the book before it can appear in the store.
fn prepare<S: Store>(
    shared: &Arc<RouterShared<S>>,
    digest: &Digest,
) -> Result<ClaimRecord, RouteError> {
    let record = shared.claims.prepare(digest.clone());
    let record = record.map_err(RouteError::NoClaim)?;
    shared.book.set(&record.nonce, ClaimProgress::InProgress);
    Ok(record)
}

/// A claim that is not held is given up for good, also where it may yet appear in the store.
fn conclude<S: Store>(
    shared: &Arc<RouterShared<S>>,
    place: &str,
    record: &ClaimRecord,
    step: Result<ClaimOutcome, StateError>,
) -> Result<ClaimOutcome, RouteError> {
    if !matches!(step, Ok(ClaimOutcome::Held(_))) {
        shared.book.set(&record.nonce, ClaimProgress::Abandoned);
    }
    if matches!(step, Ok(ClaimOutcome::Unresolved)) {
        settle_abandoned(shared, place.to_owned(), record.nonce.clone());
    }
    step.map_err(RouteError::NoClaim)
}

fn claim_until(deadline: Instant) -> Instant {
    deadline.min(Instant::now() + CLAIM_CALL)
}

fn earlier(record: &ClaimRecord, known: &str, may_change: bool) -> RouteError {
    RouteError::EarlierCall {
        instance: record.claimed_by.to_string(),
        since: record.claimed_at,
        known: known.to_owned(),
        may_change,
    }
}
