use super::{Followed, Listing};
use crate::ports::{Item, ItemEvent, KeyValueStore, KvError, StoreRevision, WatchResponse};
use lycheeyard_clients::Backoff;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// An event of [`follow_prefix`].
#[derive(Clone, Debug)]
pub(crate) enum PrefixEvent {
    /// The complete list of the keys under the listed prefixes; any other key there no longer exists.
    Listed(Vec<Item>),
    /// A single change.
    Changed(ItemEvent),
}

/// What a follower has to ask the store for next.
#[derive(Debug)]
enum Position {
    /// All keys under the listed prefixes; some pages may have been read.
    Listing(Listing),
    /// The changes after a revision.
    Watching(StoreRevision),
    /// The changes after a revision, at once: the last call failed, so that changes may have been missed.
    Resuming(StoreRevision),
}

/// Follows the keys under a prefix until `deliver` returns false. Lists keys first, unless the caller already has them, then
/// delivers each change.
///
/// An empty response does not advance the revision: a degraded store may answer watches without including every change.
/// After a failed call the follower goes on where it was, and lists keys again only if the store no longer has the changes
/// since then, so that the work after an outage grows with the outage and not with the number of keys.
pub(crate) async fn follow_prefix<S: KeyValueStore>(
    store: S,
    followed: Followed,
    mut deliver: impl FnMut(PrefixEvent) -> bool + Send,
) {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut failures: u32 = 0;
    let Followed {
        prefix,
        listed,
        watch_after,
        gap,
        wait,
    } = followed;
    let mut position = watch_after.map_or_else(
        || Position::Listing(Listing::new(listed.clone())),
        Position::Watching,
    );
    loop {
        let step = match &mut position {
            Position::Listing(listing) => list(&store, listing, &mut deliver).await,
            Position::Watching(after) => watch(&store, &prefix, *after, wait, &mut deliver).await,
            Position::Resuming(after) => {
                watch(&store, &prefix, *after, Duration::ZERO, &mut deliver).await
            }
        };
        match step {
            Ok(Step::Stop) => return,
            Ok(Step::Follow(revision)) => {
                if failures > 0 {
                    info!(%prefix, failures, "follow: the store answers again");
                }
                failures = 0;
                backoff.reset();
                position = Position::Watching(revision);
                sleep(gap).await;
            }
            Ok(Step::Relist) => {
                info!(%prefix, "follow: the store has compacted its history; listing keys again");
                position = Position::Listing(Listing::new(listed.clone()));
            }
            Err(err) => {
                if failures == 0 {
                    warn!(%prefix, %err, "follow: the store is unreachable");
                }
                failures = failures.saturating_add(1);
                if let Position::Watching(after) = position {
                    position = Position::Resuming(after);
                }
                backoff.wait().await;
            }
        }
    }
}

enum Step {
    Follow(StoreRevision),
    Relist,
    Stop,
}

async fn list<S: KeyValueStore>(
    store: &S,
    listing: &mut Listing,
    deliver: &mut (impl FnMut(PrefixEvent) -> bool + Send),
) -> Result<Step, KvError> {
    listing.read(store).await?;
    Ok(if deliver(PrefixEvent::Listed(listing.take_items())) {
        Step::Follow(listing.revision())
    } else {
        Step::Stop
    })
}

async fn watch<S: KeyValueStore>(
    store: &S,
    prefix: &str,
    after: StoreRevision,
    wait: Duration,
    deliver: &mut (impl FnMut(PrefixEvent) -> bool + Send),
) -> Result<Step, KvError> {
    let deadline = Instant::now() + wait + CALL_TIMEOUT;
    match store.watch(prefix, after, wait, deadline).await? {
        WatchResponse::Compacted => Ok(Step::Relist),
        WatchResponse::Changes(events, _) if events.is_empty() => Ok(Step::Follow(after)),
        WatchResponse::Changes(events, revision) => {
            for event in events {
                if !deliver(PrefixEvent::Changed(event)) {
                    return Ok(Step::Stop);
                }
            }
            Ok(Step::Follow(revision.max(after)))
        }
    }
}
