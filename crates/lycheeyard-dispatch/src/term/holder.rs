use super::{Term, TermState, state::EXPIRY_MARGIN};
use crate::{
    clock::Clock,
    ports::{KeyValueStore, Renewal},
};
use lycheeyard_jobs::BootTime;
use std::time::Duration;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use tracing::{info, warn};

/// The number of renewals within the duration of the lease.
const RENEWALS_PER_LEASE: u32 = 3;
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// Renews the lease of a term and publishes its state, until the lease has ended or all receivers are dropped.
pub(crate) async fn renew_term<S: KeyValueStore, C: Clock>(
    store: S,
    clock: C,
    term: Term,
    state: watch::Sender<TermState>,
) {
    let mut ttl = term.ttl;
    let mut valid_until = term.valid_until;
    let mut failures: u32 = 0;
    while !state.is_closed() {
        let requested_at = clock.boot();
        let until = orders_allowed_until(valid_until);
        let next = if until.is_past(requested_at) {
            TermState::Unconfirmed(until)
        } else {
            TermState::Held(until)
        };
        publish(&state, next);
        let timeout = MIN_CALL_TIMEOUT.max(ttl / RENEWALS_PER_LEASE);
        match store
            .renew_lease(term.lease, Instant::now() + timeout)
            .await
        {
            Ok(Renewal::Renewed(granted)) => {
                if failures > 0 {
                    info!(epoch = %term.epoch, failures, "term: the lease is renewed again");
                }
                failures = 0;
                ttl = granted;
                valid_until = requested_at.after(granted);
                publish(&state, TermState::Held(orders_allowed_until(valid_until)));
                sleep(ttl / RENEWALS_PER_LEASE).await;
            }
            Ok(Renewal::Ended) => {
                warn!(epoch = %term.epoch, "term: the lease has ended");
                state.send_replace(TermState::Ended);
                return;
            }
            Err(err) => {
                if failures == 0 {
                    warn!(epoch = %term.epoch, %err, "term: the lease was not renewed");
                }
                failures = failures.saturating_add(1);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Releases the lease of a term, so that another instance can take over at once.
pub(crate) async fn release_term<S: KeyValueStore>(store: &S, term: Term) {
    match store
        .revoke_lease(term.lease, Instant::now() + RELEASE_TIMEOUT)
        .await
    {
        Ok(()) => info!(epoch = %term.epoch, "term: given back"),
        Err(err) => {
            warn!(epoch = %term.epoch, %err, "term: not given back; it ends by itself");
        }
    }
}

/// Publishes a state, unless it is unchanged or the term has ended.
fn publish(state: &watch::Sender<TermState>, next: TermState) {
    state.send_if_modified(|current| {
        let is_changed = *current != TermState::Ended && *current != next;
        if is_changed {
            *current = next;
        }
        is_changed
    });
}

/// Returns the time until which orders may be sent under a lease that is valid until `valid_until`.
fn orders_allowed_until(valid_until: BootTime) -> BootTime {
    let margin = u64::try_from(EXPIRY_MARGIN.as_millis()).unwrap_or(0);
    BootTime(valid_until.0.saturating_sub(margin))
}
