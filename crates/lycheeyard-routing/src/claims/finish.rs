use crate::router::RouterShared;
use lycheeyard_clients::Store;
use lycheeyard_protocol::Nonce;
use lycheeyard_state::{ClaimState, HeldClaim};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};
use tracing::warn;

const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_ATTEMPTS: u32 = 10;

/// Marks a claim as abandoned in the store once it has appeared there, in the background.
///
/// Correctness does not depend on this, since this instance reports the same status to every peer that asks. The mark
/// is for peers that ask after this instance has stopped.
pub(super) fn mark_abandoned<S: Store>(
    shared: &Arc<RouterShared<S>>,
    store_key: String,
    nonce: Nonce,
) {
    let shared = shared.clone();
    tokio::spawn(async move {
        for attempt in 0..MAX_ATTEMPTS {
            let deadline = Instant::now() + STORE_CALL_TIMEOUT;
            let marked = shared.claims.mark_abandoned(&store_key, &nonce, deadline);
            if marked.await == Ok(true) {
                return;
            }
            sleep(INITIAL_BACKOFF * 2_u32.pow(attempt)).await;
        }
    });
}

/// Writes a result to the store; if the first attempt fails or times out, retries in the background.
pub(super) async fn store_result<S: Store>(
    shared: &Arc<RouterShared<S>>,
    held: HeldClaim,
    state: ClaimState,
    deadline: Instant,
) {
    let call_deadline = deadline.min(Instant::now() + STORE_CALL_TIMEOUT);
    let stored = shared
        .claims
        .finish(&held, state.clone(), call_deadline)
        .await;
    if stored == Ok(true) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        for attempt in 0..MAX_ATTEMPTS {
            sleep(INITIAL_BACKOFF * 2_u32.pow(attempt)).await;
            let deadline = Instant::now() + STORE_CALL_TIMEOUT;
            let stored = shared.claims.finish(&held, state.clone(), deadline).await;
            if stored == Ok(true) {
                return;
            }
        }
        warn!("claims: could not store the result of {}", held.key);
    });
}
