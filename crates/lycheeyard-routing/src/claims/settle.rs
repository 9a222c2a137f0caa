use crate::router::RouterShared;
use lycheeyard_clients::Store;
use lycheeyard_protocol::Nonce;
use lycheeyard_state::{ClaimState, HeldClaim};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};
use tracing::warn;

const CALL: Duration = Duration::from_secs(1);
const FIRST_WAIT: Duration = Duration::from_millis(200);
const MAX_ATTEMPTS: u32 = 10;

/// Marks an abandoned claim in the store once it has appeared there.
///
/// Nothing depends on this: the book says the same to every peer that asks. It serves after this instance is gone.
pub(super) fn settle_abandoned<S: Store>(
    shared: &Arc<RouterShared<S>>,
    place: String,
    nonce: Nonce,
) {
    let shared = shared.clone();
    tokio::spawn(async move {
        for attempt in 0..MAX_ATTEMPTS {
            let deadline = Instant::now() + CALL;
            let settled = shared.claims.mark_abandoned(&place, &nonce, deadline);
            if settled.await == Ok(true) {
                return;
            }
            sleep(FIRST_WAIT * 2_u32.pow(attempt)).await;
        }
    });
}

/// Writes a result into the store; where that is slow, it goes on in the background.
pub(super) async fn keep_result<S: Store>(
    shared: &Arc<RouterShared<S>>,
    held: HeldClaim,
    state: ClaimState,
    deadline: Instant,
) {
    let until = deadline.min(Instant::now() + CALL);
    let kept = shared.claims.finish(&held, state.clone(), until).await;
    if kept == Ok(true) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        for attempt in 0..MAX_ATTEMPTS {
            sleep(FIRST_WAIT * 2_u32.pow(attempt)).await;
            let deadline = Instant::now() + CALL;
            let kept = shared.claims.finish(&held, state.clone(), deadline).await;
            if kept == Ok(true) {
                return;
            }
        }
        warn!("claims: the result of {} could not be kept", held.key);
    });
}
