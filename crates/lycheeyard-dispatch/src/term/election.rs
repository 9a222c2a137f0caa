use super::Term;
use crate::{
    clock::Clock,
    keys,
    ports::{CommitOutcome, KeyValueStore, KvError, StoreRevision, Transaction, WatchResponse},
};
use lycheeyard_clients::Backoff;
use lycheeyard_protocol::{Epoch, InstanceId};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// The duration of the scheduling lease. A shorter one allows a faster takeover; a longer one tolerates a slower store.
const LEASE_DURATION: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const WATCH_WAIT: Duration = Duration::from_secs(3);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// The maximum random delay before an instance tries to acquire a lease that has ended, so that instances do not
/// compete at the same time.
const MAX_STAGGER_MS: u64 = 60;

/// Waits until this instance has acquired the scheduling lease.
pub(crate) async fn acquire_term<S: KeyValueStore, C: Clock>(
    store: &S,
    clock: &C,
    instance: &InstanceId,
) -> Term {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut is_reachable = true;
    loop {
        match acquire_once(store, clock, instance).await {
            Ok(Some(term)) => {
                info!(epoch = %term.epoch, "term: this instance schedules");
                return term;
            }
            Ok(None) => {
                backoff.reset();
                is_reachable = true;
            }
            Err(err) => {
                if is_reachable {
                    warn!(%err, "term: the store is unreachable");
                }
                is_reachable = false;
                backoff.wait().await;
            }
        }
    }
}

/// Waits while another instance holds the lease, else tries to acquire it.
async fn acquire_once<S: KeyValueStore, C: Clock>(
    store: &S,
    clock: &C,
    instance: &InstanceId,
) -> Result<Option<Term>, KvError> {
    let present = store.get(keys::SCHEDULER, Instant::now() + CALL_TIMEOUT);
    let present = present.await?;
    if present.item.is_some() {
        wait_for_change(store, present.revision).await?;
        return Ok(None);
    }
    try_acquire(store, clock, instance).await
}

/// Waits until the scheduler's key has changed, for one watch at most.
async fn wait_for_change<S: KeyValueStore>(store: &S, after: StoreRevision) -> Result<(), KvError> {
    let deadline = Instant::now() + WATCH_WAIT + CALL_TIMEOUT;
    let answer = store.watch(keys::SCHEDULER, after, WATCH_WAIT, deadline);
    if let WatchResponse::Changes(events, _) = answer.await?
        && !events.is_empty()
    {
        let stagger = Duration::from_millis(rand::random_range(0..MAX_STAGGER_MS));
        sleep(stagger).await;
    }
    Ok(())
}

async fn try_acquire<S: KeyValueStore, C: Clock>(
    store: &S,
    clock: &C,
    instance: &InstanceId,
) -> Result<Option<Term>, KvError> {
    // The lease runs from the arrival of the call at the store, which is later than this time.
    let requested_at = clock.boot();
    let (lease, ttl) = store
        .grant_lease(LEASE_DURATION, Instant::now() + CALL_TIMEOUT)
        .await?;
    let nonce: u64 = rand::random();
    let value = format!("{instance}/{nonce:016x}").into_bytes();
    let transaction = Transaction {
        expect: vec![(keys::SCHEDULER.to_owned(), StoreRevision(0))],
        writes: vec![(keys::SCHEDULER.to_owned(), value.clone(), Some(lease))],
        removes: Vec::new(),
    };
    let commit = store.commit(&transaction, Instant::now() + CALL_TIMEOUT);
    let revision = match commit.await? {
        CommitOutcome::Done(revision) => Some(revision),
        CommitOutcome::Conflict(items) => {
            let own = items.into_iter().find(|item| item.value == value);
            own.map(|item| item.revision)
        }
        CommitOutcome::NoLease => None,
        CommitOutcome::Unknown => {
            let present = store.get(keys::SCHEDULER, Instant::now() + CALL_TIMEOUT);
            let own = present.await?.item.filter(|item| item.value == value);
            own.map(|item| item.revision)
        }
    };
    let Some(revision) = revision else {
        if let Err(err) = store
            .revoke_lease(lease, Instant::now() + CALL_TIMEOUT)
            .await
        {
            info!(%err, %lease, "term: an unused lease could not be revoked; it will expire");
        }
        return Ok(None);
    };
    Ok(Some(Term {
        epoch: Epoch(revision.0),
        revision,
        lease,
        ttl,
        valid_until: requested_at.after(ttl),
    }))
}
