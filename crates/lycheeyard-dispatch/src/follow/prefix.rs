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
    /// The complete list of keys; any other key no longer exists.
    Listed(Vec<Item>),
    /// A single change.
    Changed(ItemEvent),
}

/// Follows the keys under a prefix until `deliver` returns false. Lists all keys first, unless the caller
/// already has them as of the revision `watch_after`, then delivers each change.
///
/// Each watch waits up to `wait` for a change; `gap` passes between two watches, so that frequent changes are
/// delivered in groups. An empty response does not advance the revision, and after a failed call all keys are
/// listed again: a degraded store may answer watches without including every change.
pub(crate) async fn follow_prefix<S: KeyValueStore>(
    store: S,
    prefix: String,
    mut watch_after: Option<StoreRevision>,
    gap: Duration,
    wait: Duration,
    mut deliver: impl FnMut(PrefixEvent) -> bool + Send,
) {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut is_reachable = true;
    let mut failures: u32 = 0;
    loop {
        let step = match watch_after {
            None => list(&store, &prefix, &mut deliver).await,
            Some(after) => watch(&store, &prefix, after, wait, &mut deliver).await,
        };
        match step {
            Ok(Step::Stop) => return,
            Ok(Step::Follow(revision)) => {
                if !is_reachable {
                    info!(%prefix, failures, "follow: the store answers again");
                }
                is_reachable = true;
                failures = 0;
                backoff.reset();
                watch_after = Some(revision);
                sleep(gap).await;
            }
            Ok(Step::Relist) => {
                info!(%prefix, "follow: the store has compacted its history; listing all keys again");
                watch_after = None;
            }
            Err(err) => {
                if is_reachable {
                    warn!(%prefix, %err, "follow: the store is unreachable");
                }
                is_reachable = false;
                failures = failures.saturating_add(1);
                watch_after = None;
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
    prefix: &str,
    deliver: &mut (impl FnMut(PrefixEvent) -> bool + Send),
) -> Result<Step, KvError> {
    let begun = Instant::now();
    let (items, revision) = list_all(store, prefix).await?;
    info!(%prefix, items = items.len(), took_ms = begun.elapsed().as_millis(), "follow: listed all keys");
    Ok(if deliver(PrefixEvent::Listed(items)) {
        Step::Follow(revision)
    } else {
        Step::Stop
    })
}

/// Reads all keys under a prefix, page by page. Returns the revision of the first page; later changes may or may
/// not be included.
pub(crate) async fn list_all<S: KeyValueStore>(
    store: &S,
    prefix: &str,
) -> Result<(Vec<Item>, StoreRevision), KvError> {
    let mut items: Vec<Item> = Vec::new();
    let mut first_revision: Option<StoreRevision> = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let deadline = Instant::now() + CALL_TIMEOUT;
        let page = store.range(prefix, after.as_deref(), deadline).await?;
        let revision = *first_revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((items, revision));
        }
    }
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
