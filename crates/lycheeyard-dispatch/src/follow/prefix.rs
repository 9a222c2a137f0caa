use crate::ports::{Item, ItemEvent, KeyValueStore, KvError, StoreRevision, WatchResponse};
use lycheeyard_clients::Backoff;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// What following a prefix brought.
#[derive(Clone, Debug)]
pub(crate) enum PrefixEvent {
    /// All keys as they are now; others no longer exist.
    Listed(Vec<Item>),
    /// One change.
    Changed(ItemEvent),
}

/// Follows the keys under a prefix until the receiver is gone: first all of them, unless they are known
/// as of a revision, then each change.
///
/// Between two watches `gap` passes, so that frequent changes come in groups, and each waits for `wait`. A watch that brings nothing
/// moves nothing on, and after a failed call all keys are read again: a store that is in trouble may answer
/// watches without having heard of every change.
pub(crate) async fn follow_prefix<S: KeyValueStore>(
    store: S,
    prefix: String,
    mut known: Option<StoreRevision>,
    gap: Duration,
    wait: Duration,
    mut deliver: impl FnMut(PrefixEvent) -> bool + Send,
) {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut reachable = true;
    loop {
        let step = match known {
            None => list(&store, &prefix, &mut deliver).await,
            Some(after) => watch(&store, &prefix, after, wait, &mut deliver).await,
        };
        match step {
            Ok(Step::Stop) => return,
            Ok(Step::Follow(revision)) => {
                if !reachable {
                    info!(%prefix, "follow: the store answers again");
                }
                reachable = true;
                backoff.reset();
                known = Some(revision);
                sleep(gap).await;
            }
            Ok(Step::ListAgain) => {
                info!(%prefix, "follow: the store's history is gone; reading all again");
                known = None;
            }
            Err(err) => {
                if reachable {
                    warn!(%prefix, %err, "follow: the store is out of reach");
                }
                reachable = false;
                known = None;
                backoff.wait().await;
            }
        }
    }
}

enum Step {
    Follow(StoreRevision),
    ListAgain,
    Stop,
}

async fn list<S: KeyValueStore>(
    store: &S,
    prefix: &str,
    deliver: &mut (impl FnMut(PrefixEvent) -> bool + Send),
) -> Result<Step, KvError> {
    let (items, revision) = list_all(store, prefix).await?;
    Ok(if deliver(PrefixEvent::Listed(items)) {
        Step::Follow(revision)
    } else {
        Step::Stop
    })
}

/// Reads all keys under a prefix. Changes after the revision returned may or may not be in them.
pub(crate) async fn list_all<S: KeyValueStore>(
    store: &S,
    prefix: &str,
) -> Result<(Vec<Item>, StoreRevision), KvError> {
    let mut items: Vec<Item> = Vec::new();
    let mut first: Option<StoreRevision> = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let deadline = Instant::now() + CALL_TIMEOUT;
        let page = store.range(prefix, after.as_deref(), deadline).await?;
        let revision = *first.get_or_insert(page.revision);
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
        WatchResponse::Compacted => Ok(Step::ListAgain),
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
