use super::{
    InstanceSize, Term,
    hand_over::{SeenHolder, holder_value},
};
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
/// The maximum random delay before an instance tries to acquire a free lease, so that instances of one size do not
/// compete at the same time.
const MAX_STAGGER_MS: u64 = 40;
/// While an instance has not seen a holder yet, others may still be starting; it then leaves a free lease to larger ones
/// for this many times as long.
const STARTUP_WAIT_FACTOR: u32 = 5;

/// What an instance that does not hold the lease has seen of it.
#[derive(Clone, Copy, Debug)]
enum Seen {
    /// Nothing yet: the instance has just started.
    Nothing,
    /// Nothing since a call of the store failed.
    Unknown,
    /// Another instance holds the lease.
    Held(SeenHolder),
    /// The lease is free, and this instance has left it to larger ones for long enough.
    Free,
}

/// Waits until this instance has acquired the scheduling lease. Of several instances that wait, a large one gets it first.
pub(crate) async fn acquire_term<S: KeyValueStore, C: Clock>(
    store: &S,
    clock: &C,
    instance: &InstanceId,
    size: InstanceSize,
) -> Term {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut is_reachable = true;
    let mut seen = Seen::Nothing;
    loop {
        match acquire_once(store, clock, instance, size, &mut seen).await {
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
                if !matches!(seen, Seen::Nothing) {
                    seen = Seen::Unknown;
                }
                backoff.wait().await;
            }
        }
    }
}

/// Waits while another instance holds the lease, else leaves it to larger instances for a while, else tries to acquire it.
async fn acquire_once<S: KeyValueStore, C: Clock>(
    store: &S,
    clock: &C,
    instance: &InstanceId,
    size: InstanceSize,
    seen: &mut Seen,
) -> Result<Option<Term>, KvError> {
    let present = store.get(keys::SCHEDULER, Instant::now() + CALL_TIMEOUT);
    let present = present.await?;
    if let Some(holder) = &present.item {
        let mut seen_holder = match *seen {
            Seen::Held(seen_holder) => seen_holder,
            Seen::Nothing | Seen::Unknown | Seen::Free => SeenHolder::new(holder),
        };
        let asked = seen_holder.ask_if_smaller(holder, store, instance, size);
        asked.await?;
        *seen = Seen::Held(seen_holder);
        if has_changed(store, present.revision).await? {
            leave_to_larger(size, 1).await;
            *seen = Seen::Free;
        }
        return Ok(None);
    }
    match *seen {
        Seen::Nothing => leave_to_larger(size, STARTUP_WAIT_FACTOR).await,
        Seen::Unknown | Seen::Held(_) => leave_to_larger(size, 1).await,
        Seen::Free => return try_acquire(store, clock, instance, size).await,
    }
    *seen = Seen::Free;
    Ok(None)
}

/// Leaves a free lease to larger instances, for a multiple of the usual wait.
async fn leave_to_larger(size: InstanceSize, factor: u32) {
    let stagger = Duration::from_millis(rand::random_range(0..MAX_STAGGER_MS));
    sleep(size.acquisition_wait() * factor + stagger).await;
}

/// Waits until the scheduler's key has changed, for one watch at most. Returns whether it has.
async fn has_changed<S: KeyValueStore>(store: &S, after: StoreRevision) -> Result<bool, KvError> {
    let deadline = Instant::now() + WATCH_WAIT + CALL_TIMEOUT;
    let answer = store.watch(keys::SCHEDULER, after, WATCH_WAIT, deadline);
    Ok(match answer.await? {
        WatchResponse::Changes(events, _) => !events.is_empty(),
        WatchResponse::Compacted => false,
    })
}

async fn try_acquire<S: KeyValueStore, C: Clock>(
    store: &S,
    clock: &C,
    instance: &InstanceId,
    size: InstanceSize,
) -> Result<Option<Term>, KvError> {
    // The lease runs from the arrival of the call at the store, which is later than this time.
    let requested_at = clock.boot();
    let (lease, ttl) = store
        .grant_lease(LEASE_DURATION, Instant::now() + CALL_TIMEOUT)
        .await?;
    let nonce: u64 = rand::random();
    let value = holder_value(instance, nonce, size);
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
