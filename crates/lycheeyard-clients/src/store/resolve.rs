use super::{CallClass, ResolvedWrite, Store, StoreError, WriteOutcome};
use crate::Backoff;
use lycheeyard_protocol::platform::{KeyValue, WriteRequest};
use std::time::Duration;
use tokio::time::Instant;

const FIRST_PAUSE: Duration = Duration::from_millis(5);
const MAX_PAUSE: Duration = Duration::from_millis(200);

enum Step {
    Done(Result<ResolvedWrite, StoreError>),
    Again,
}

/// Sends one conditional write until an answer settles all its copies.
///
/// All copies expect the same version and the store never gives a version twice, so at most one copy
/// takes effect. A conflict proves that the version has passed: no copy that is still under way can
/// take effect after it. Reading the key proves nothing while the version is unchanged.
pub(super) async fn resolve_write<S: Store>(
    store: &S,
    class: CallClass,
    req: WriteRequest,
    deadline: Instant,
) -> Result<ResolvedWrite, StoreError> {
    let mut unclear = false;
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    loop {
        let answer = store.write(class, req.clone(), deadline).await;
        match settle(answer, &req, &mut unclear) {
            Step::Done(resolved) => return resolved,
            Step::Again if Instant::now() + backoff.next_delay() >= deadline => {
                return Ok(ResolvedWrite::Unknown);
            }
            Step::Again => {}
        }
        backoff.wait().await;
    }
}

fn settle(
    answer: Result<WriteOutcome, StoreError>,
    req: &WriteRequest,
    unclear: &mut bool,
) -> Step {
    match answer {
        Ok(WriteOutcome::Applied(version)) => Step::Done(Ok(ResolvedWrite::Applied(version))),
        Ok(WriteOutcome::Conflict(present)) => Step::Done(Ok(conflict(present, req, *unclear))),
        Ok(WriteOutcome::Unknown) => {
            *unclear = true;
            Step::Again
        }
        Err(_) if *unclear => Step::Again,
        Err(err) => Step::Done(Err(err)),
    }
}

fn conflict(present: Option<KeyValue>, req: &WriteRequest, unclear: bool) -> ResolvedWrite {
    if !unclear {
        return ResolvedWrite::Conflict(present);
    }
    match present {
        Some(entry) if Some(&entry.value) == req.value.as_ref() => {
            ResolvedWrite::Applied(entry.version)
        }
        present => ResolvedWrite::Replaced(present),
    }
}
