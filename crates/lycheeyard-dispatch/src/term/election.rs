use super::{
    ExtendingTerm, InstanceSize, Term,
    hand_over::{SeenHolder, holder_value},
};
use crate::{
    clock::Clock,
    dated::DatedStore,
    keys,
    ports::{
        CommitOutcome, ItemEvent, KeyValueStore, KvError, LeaseId, StoreRevision, Transaction,
        WatchResponse,
    },
};
use lycheeyard_clients::Backoff;
use lycheeyard_jobs::BootTime;
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

/// The maximum random delay of a newcomer. Less than what two seconds of uptime make of [`MAX_NEWCOMER_WAIT`].
const MAX_NEWCOMER_STAGGER_MS: u64 = 20;
/// For how long an instance counts as a newcomer. Deadlines of former terms that are further back have passed.
const NEWCOMER_TIME: Duration = Duration::from_secs(15);
/// How much longer an instance that has just started leaves a free lease to others.
const MAX_NEWCOMER_WAIT: Duration = Duration::from_millis(200);

/// What an instance that does not hold the lease has seen of it.
#[derive(Clone, Copy, Debug)]
enum Seen {
    /// Nothing yet: the instance has just started.
    Nothing,
    /// Nothing since a call of the store failed.
    Unknown,
    /// Another instance holds the lease.
    Held(SeenHolder),
    /// The lease was free at this revision, and this instance has left it to larger ones for long enough.
    Free(StoreRevision),
}

/// An instance that competes for the scheduling lease.
pub(crate) struct Candidate<'a, S, C> {
    pub store: &'a DatedStore<S, C>,
    pub clock: &'a C,
    pub instance: &'a InstanceId,
    pub size: InstanceSize,
    /// When it began to ask the store.
    pub started_at: BootTime,
}

/// Waits until this instance has acquired the scheduling lease. Of several instances that wait, a large one gets it first, and of those of one
/// size one that has been up for long.
pub(crate) async fn acquire_term<S: KeyValueStore, C: Clock>(
    candidate: &Candidate<'_, S, C>,
) -> Term {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut is_reachable = true;
    let mut seen = Seen::Nothing;
    loop {
        match acquire_once(candidate, &mut seen).await {
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
    candidate: &Candidate<'_, S, C>,
    seen: &mut Seen,
) -> Result<Option<Term>, KvError> {
    let Candidate {
        store,
        instance,
        size,
        ..
    } = *candidate;
    let present = store.get(keys::SCHEDULER, Instant::now() + CALL_TIMEOUT);
    let present = present.await?;
    if let Some(holder) = &present.item {
        let mut seen_holder = match *seen {
            Seen::Held(seen_holder) => seen_holder,
            Seen::Nothing | Seen::Unknown | Seen::Free(_) => SeenHolder::new(holder),
        };
        let asked = seen_holder.ask_if_smaller(holder, store, instance, size);
        asked.await?;
        *seen = Seen::Held(seen_holder);
        if let Some(absent_at) = wait_until_absent(store, present.revision).await? {
            let wait = wait_after_term(candidate);
            if !is_taken(store, absent_at, wait).await? {
                *seen = Seen::Free(absent_at);
            }
        }
        return Ok(None);
    }
    match *seen {
        Seen::Nothing => sleep(acquisition_wait(size, STARTUP_WAIT_FACTOR)).await,
        Seen::Unknown | Seen::Held(_) => sleep(acquisition_wait(size, 1)).await,
        Seen::Free(absent_at) => {
            return try_acquire(candidate, absent_at).await;
        }
    }
    *seen = Seen::Free(present.revision);
    Ok(None)
}

/// How long an instance leaves a free lease to larger ones, with a multiple of the usual wait.
fn acquisition_wait(size: InstanceSize, factor: u32) -> Duration {
    let stagger = Duration::from_millis(rand::random_range(0..MAX_STAGGER_MS));
    size.acquisition_wait() * factor + stagger
}

/// Leaves a lease that was free at `absent_at` to others for `wait`. Returns whether one has acquired it, as soon as that is so.
async fn is_taken<S: KeyValueStore>(
    store: &S,
    absent_at: StoreRevision,
    wait: Duration,
) -> Result<bool, KvError> {
    let deadline = Instant::now() + wait + CALL_TIMEOUT;
    let answer = store.watch(keys::SCHEDULER, absent_at, wait, deadline);
    Ok(match answer.await? {
        WatchResponse::Changes(events, _) => !events.is_empty(),
        WatchResponse::Compacted => false,
    })
}

/// How long an instance leaves a lease that has become free to others. Newcomers wait longer, in the order of their starts: those that have been
/// up for longer know better when former terms have ended.
fn wait_after_term<S, C: Clock>(candidate: &Candidate<'_, S, C>) -> Duration {
    let uptime = candidate.clock.boot().since(candidate.started_at);
    if uptime >= NEWCOMER_TIME {
        return acquisition_wait(candidate.size, 1);
    }
    let stagger = Duration::from_millis(rand::random_range(0..MAX_NEWCOMER_STAGGER_MS));
    let share = 1.0 - uptime.as_secs_f64() / NEWCOMER_TIME.as_secs_f64();
    candidate.size.acquisition_wait() + MAX_NEWCOMER_WAIT.mul_f64(share) + stagger
}

/// Waits until the scheduler's key is removed, for one watch at most. Returns a revision at which it was missing.
async fn wait_until_absent<S: KeyValueStore>(
    store: &S,
    after: StoreRevision,
) -> Result<Option<StoreRevision>, KvError> {
    let deadline = Instant::now() + WATCH_WAIT + CALL_TIMEOUT;
    let answer = store.watch(keys::SCHEDULER, after, WATCH_WAIT, deadline);
    Ok(match answer.await? {
        WatchResponse::Changes(events, revision) => match events.last() {
            Some(ItemEvent::Removed(_)) => Some(revision),
            _ => None,
        },
        WatchResponse::Compacted => None,
    })
}

async fn try_acquire<S: KeyValueStore, C: Clock>(
    candidate: &Candidate<'_, S, C>,
    absent_at: StoreRevision,
) -> Result<Option<Term>, KvError> {
    let Candidate {
        store,
        clock,
        instance,
        size,
        ..
    } = *candidate;
    // The lease runs from the arrival of the call at the store, which is later than this time.
    let requested_at = clock.boot();
    let deadline = Instant::now() + CALL_TIMEOUT;
    let (extending, granted) = tokio::join!(
        store.get(keys::EXTENDING_TERM, deadline),
        store.grant_lease(LEASE_DURATION, deadline),
    );
    let (lease, ttl) = granted?;
    let extending = match extending {
        Ok(read) => read.item,
        Err(err) => {
            end_unused_lease(store, lease).await;
            return Err(err);
        }
    };
    let ended = ExtendingTerm::ended(extending.as_ref(), absent_at, store.times(), clock.boot());
    let extending_revision = extending.map(|item| item.revision);
    let nonce: u64 = rand::random();
    let value = holder_value(instance, nonce, size);
    let transaction = Transaction {
        expect: vec![
            (keys::SCHEDULER.to_owned(), StoreRevision(0)),
            (
                keys::EXTENDING_TERM.to_owned(),
                extending_revision.unwrap_or_default(),
            ),
        ],
        writes: vec![
            (keys::SCHEDULER.to_owned(), value.clone(), Some(lease)),
            (keys::EXTENDING_TERM.to_owned(), ended.encode(), None),
        ],
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
        end_unused_lease(store, lease).await;
        return Ok(None);
    };
    Ok(Some(Term {
        epoch: Epoch(revision.0),
        revision,
        predecessors_ended_by: ended.ended_by(revision).unwrap_or(revision),
        lease,
        ttl,
        requested_at,
        valid_until: requested_at.after(ttl),
    }))
}

async fn end_unused_lease<S: KeyValueStore>(store: &S, lease: LeaseId) {
    let deadline = Instant::now() + CALL_TIMEOUT;
    if let Err(err) = store.revoke_lease(lease, deadline).await {
        info!(%err, %lease, "term: an unused lease could not be revoked; it will expire");
    }
}
