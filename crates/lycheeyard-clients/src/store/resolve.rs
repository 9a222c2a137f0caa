use super::{CallClass, ResolvedWrite, Store, StoreError, WriteOutcome};
use crate::Backoff;
use lycheeyard_protocol::platform::{KeyValue, WriteRequest};
use std::time::Duration;
use tokio::time::Instant;

const INITIAL_DELAY: Duration = Duration::from_millis(5);
const MAX_DELAY: Duration = Duration::from_millis(200);

enum NextStep {
    Done(Result<ResolvedWrite, StoreError>),
    Retry,
}

/// Sends a conditional write, and retries it until a response decides the outcome of all its copies.
///
/// All copies expect the same version and the store never assigns a version twice, so at most one copy
/// takes effect. A conflict proves that the version is no longer current: no copy still in flight can
/// take effect after it. A read that finds the expected version decides nothing, since a copy may still be in
/// flight.
pub(super) async fn resolve_write<S: Store>(
    store: &S,
    class: CallClass,
    req: WriteRequest,
    deadline: Instant,
) -> Result<ResolvedWrite, StoreError> {
    let mut is_ambiguous = false;
    let mut backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY);
    loop {
        let result = store.write(class, req.clone(), deadline).await;
        match next_step(result, &req, &mut is_ambiguous) {
            NextStep::Done(resolved) => return resolved,
            NextStep::Retry if Instant::now() + backoff.next_delay() >= deadline => {
                return Ok(ResolvedWrite::Unknown);
            }
            NextStep::Retry => {}
        }
        backoff.wait().await;
    }
}

fn next_step(
    result: Result<WriteOutcome, StoreError>,
    req: &WriteRequest,
    is_ambiguous: &mut bool,
) -> NextStep {
    match result {
        Ok(WriteOutcome::Applied(version)) => NextStep::Done(Ok(ResolvedWrite::Applied(version))),
        Ok(WriteOutcome::Conflict(current)) => {
            NextStep::Done(Ok(resolve_conflict(current, req, *is_ambiguous)))
        }
        Ok(WriteOutcome::Unknown) => {
            *is_ambiguous = true;
            NextStep::Retry
        }
        Err(_) if *is_ambiguous => NextStep::Retry,
        Err(err) => NextStep::Done(Err(err)),
    }
}

fn resolve_conflict(
    current: Option<KeyValue>,
    req: &WriteRequest,
    is_ambiguous: bool,
) -> ResolvedWrite {
    if !is_ambiguous {
        return ResolvedWrite::Conflict(current);
    }
    match current {
        Some(entry) if Some(&entry.value) == req.value.as_ref() => {
            ResolvedWrite::Applied(entry.version)
        }
        current => ResolvedWrite::Replaced(current),
    }
}
