use super::{Term, TermState};
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

/// The lease is renewed this many times within its length.
const RENEWALS_PER_LEASE: u32 = 3;
/// Orders stop this long before the lease may end, since they take time to arrive.
const MARGIN: Duration = Duration::from_millis(150);
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const RESIGN_TIMEOUT: Duration = Duration::from_millis(600);

/// Renews the lease of a term until it is over or the receivers are gone.
pub(crate) async fn keep_term<S: KeyValueStore, C: Clock>(
    store: S,
    clock: C,
    term: Term,
    standing: watch::Sender<TermState>,
) {
    let mut ttl = term.ttl;
    let mut valid_until = term.valid_until;
    let mut failures: u32 = 0;
    while !standing.is_closed() {
        let asked_at = clock.boot();
        let next = if act_until(valid_until).is_past(asked_at) {
            TermState::Doubtful
        } else {
            TermState::Held(act_until(valid_until))
        };
        announce(&standing, next);
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
                valid_until = asked_at.after(granted);
                announce(&standing, TermState::Held(act_until(valid_until)));
                sleep(ttl / RENEWALS_PER_LEASE).await;
            }
            Ok(Renewal::Ended) => {
                warn!(epoch = %term.epoch, "term: the lease has ended");
                standing.send_replace(TermState::Over);
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

/// Gives a term back, so that another instance can take over at once.
pub(crate) async fn resign<S: KeyValueStore>(store: &S, term: Term) {
    match store
        .revoke_lease(term.lease, Instant::now() + RESIGN_TIMEOUT)
        .await
    {
        Ok(()) => info!(epoch = %term.epoch, "term: given back"),
        Err(err) => warn!(epoch = %term.epoch, %err, "term: not given back; it ends by itself"),
    }
}

fn announce(standing: &watch::Sender<TermState>, next: TermState) {
    standing.send_if_modified(|known| {
        let changed = *known != TermState::Over && *known != next;
        if changed {
            *known = next;
        }
        changed
    });
}

/// Until when orders may be given under a lease that lasts until `valid_until`.
fn act_until(valid_until: BootTime) -> BootTime {
    let margin = u64::try_from(MARGIN.as_millis()).unwrap_or(0);
    BootTime(valid_until.0.saturating_sub(margin))
}
