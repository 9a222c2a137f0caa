use super::{ConfigState, ServingConfig};
use crate::{
    clock::Clock,
    ports::{ItemEvent, KeyValueStore, KvError, StoreRevision, WatchResponse},
};
use lycheeyard_clients::Backoff;
use lycheeyard_jobs::BootTime;
use std::{error::Error, time::Duration};
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// How long one watch waits for a change. It is short, since each response also verifies the configuration.
const WATCH_WAIT: Duration = Duration::from_millis(900);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Decodes the configuration that the store holds under one key.
pub trait ConfigReader: Send + Sync + 'static {
    /// Why the bytes are not a valid configuration.
    type Error: Error + Send + Sync + 'static;

    /// Returns the key that holds the newest configuration.
    fn key(&self) -> &str;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid configuration.
    fn read(&self, bytes: &[u8]) -> Result<ServingConfig, Self::Error>;
}

/// Keeps `state` up to date with the configuration in the store; never returns.
pub async fn follow_config<S: KeyValueStore, R: ConfigReader, C: Clock>(
    store: S,
    clock: C,
    reader: R,
    state: ConfigState,
) {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut watch_after: Option<StoreRevision> = None;
    let mut is_reachable = true;
    loop {
        let step = match watch_after {
            None => read_once(&store, &clock, &reader, &state).await,
            Some(after) => watch_once(&store, &clock, &reader, &state, after).await,
        };
        match step {
            Ok(revision) => {
                if !is_reachable {
                    info!("config: the store answers again");
                }
                is_reachable = true;
                backoff.reset();
                watch_after = revision;
                if revision.is_none() {
                    sleep(FIRST_PAUSE).await;
                }
            }
            Err(err) => {
                if is_reachable {
                    warn!(%err, "config: the store is unreachable");
                }
                is_reachable = false;
                watch_after = None;
                backoff.wait().await;
            }
        }
    }
}

async fn read_once<S: KeyValueStore, R: ConfigReader, C: Clock>(
    store: &S,
    clock: &C,
    reader: &R,
    state: &ConfigState,
) -> Result<Option<StoreRevision>, KvError> {
    let requested_at = clock.boot();
    let response = store
        .get(reader.key(), Instant::now() + CALL_TIMEOUT)
        .await?;
    let Some(item) = response.item else {
        return Ok(None);
    };
    apply(reader, state, &item.value, requested_at);
    Ok(Some(response.revision))
}

async fn watch_once<S: KeyValueStore, R: ConfigReader, C: Clock>(
    store: &S,
    clock: &C,
    reader: &R,
    state: &ConfigState,
    after: StoreRevision,
) -> Result<Option<StoreRevision>, KvError> {
    let requested_at = clock.boot();
    let deadline = Instant::now() + WATCH_WAIT + CALL_TIMEOUT;
    let response = store.watch(reader.key(), after, WATCH_WAIT, deadline);
    match response.await? {
        WatchResponse::Compacted => {
            info!("config: the store has compacted its history; reading the key again");
            Ok(None)
        }
        WatchResponse::Changes(events, revision) => {
            let newest = events.iter().rev().find_map(|event| match event {
                ItemEvent::Written(item) if item.key == reader.key() => Some(item),
                _ => None,
            });
            if let Some(item) = newest {
                apply(reader, state, &item.value, requested_at);
                return Ok(Some(revision.max(after)));
            }
            // A degraded store may miss changes in a watch, so an empty response does not advance the revision.
            state.mark_verified(verified_until(requested_at, clock.boot()));
            Ok(Some(after))
        }
    }
}

/// Returns the time up to which a watch without changes verifies the configuration. A response that took
/// at least the full wait was sent after it, so it verifies the end of the wait; an earlier one verifies only the time
/// of the request.
fn verified_until(requested_at: BootTime, now: BootTime) -> BootTime {
    let wait_end = requested_at.after(WATCH_WAIT);
    if wait_end.is_past(now) {
        wait_end
    } else {
        requested_at
    }
}

fn apply<R: ConfigReader>(reader: &R, state: &ConfigState, bytes: &[u8], requested_at: BootTime) {
    match reader.read(bytes) {
        Ok(config) => {
            let revision = config.revision;
            let routes = config.routes.len();
            if state.update(config, requested_at) {
                info!(%revision, routes, "config: a new revision is in force");
            }
        }
        Err(err) => {
            warn!(%err, "config: the newest configuration cannot be read; keeping the old one");
        }
    }
}
