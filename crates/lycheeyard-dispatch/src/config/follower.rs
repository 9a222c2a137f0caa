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

/// A watch waits this long, so that each answer proves how new the configuration is.
const WATCH_WAIT: Duration = Duration::from_millis(900);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Reads configurations from the bytes under one key.
pub trait ConfigReader: Send + Sync + 'static {
    /// Why bytes are not a configuration.
    type Error: Error + Send + Sync + 'static;

    /// The key that holds the newest configuration.
    fn key(&self) -> &str;

    /// Reads a configuration.
    ///
    /// # Errors
    /// Fails when the bytes are not one.
    fn read(&self, bytes: &[u8]) -> Result<ServingConfig, Self::Error>;
}

/// Follows the configuration for as long as the process runs.
pub async fn follow_config<S: KeyValueStore, R: ConfigReader, C: Clock>(
    store: S,
    clock: C,
    reader: R,
    state: ConfigState,
) {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut known: Option<StoreRevision> = None;
    let mut reachable = true;
    loop {
        let step = match known {
            None => read_once(&store, &clock, &reader, &state).await,
            Some(after) => watch_once(&store, &clock, &reader, &state, after).await,
        };
        match step {
            Ok(revision) => {
                if !reachable {
                    info!("config: the store answers again");
                }
                reachable = true;
                backoff.reset();
                known = revision;
                if revision.is_none() {
                    sleep(FIRST_PAUSE).await;
                }
            }
            Err(err) => {
                if reachable {
                    warn!(%err, "config: the store is out of reach");
                }
                reachable = false;
                known = None;
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
    let asked_at = clock.boot();
    let reading = store
        .get(reader.key(), Instant::now() + CALL_TIMEOUT)
        .await?;
    let Some(item) = reading.item else {
        return Ok(None);
    };
    take(reader, state, &item.value, asked_at);
    Ok(Some(reading.revision))
}

async fn watch_once<S: KeyValueStore, R: ConfigReader, C: Clock>(
    store: &S,
    clock: &C,
    reader: &R,
    state: &ConfigState,
    after: StoreRevision,
) -> Result<Option<StoreRevision>, KvError> {
    let asked_at = clock.boot();
    let deadline = Instant::now() + WATCH_WAIT + CALL_TIMEOUT;
    let answer = store.watch(reader.key(), after, WATCH_WAIT, deadline);
    match answer.await? {
        WatchResponse::Compacted => {
            info!("config: the store's history is gone; reading again");
            Ok(None)
        }
        WatchResponse::Changes(events, revision) => {
            let newest = events.iter().rev().find_map(|event| match event {
                ItemEvent::Written(item) if item.key == reader.key() => Some(item),
                _ => None,
            });
            if let Some(item) = newest {
                take(reader, state, &item.value, asked_at);
                return Ok(Some(revision.max(after)));
            }
            // A store in trouble may not have heard of a change, so this moves nothing on.
            state.mark_verified(heard_until(asked_at, clock.boot()));
            Ok(Some(after))
        }
    }
}

/// Until when a watch that brought nothing has surely listened: an answer that took as long as the wait
/// was made at its end.
fn heard_until(asked_at: BootTime, now: BootTime) -> BootTime {
    let waited = asked_at.after(WATCH_WAIT);
    if waited.is_past(now) {
        waited
    } else {
        asked_at
    }
}

fn take<R: ConfigReader>(reader: &R, state: &ConfigState, bytes: &[u8], asked_at: BootTime) {
    match reader.read(bytes) {
        Ok(config) => {
            let revision = config.revision;
            let routes = config.routes.len();
            if state.update(config, asked_at) {
                info!(%revision, routes, "config: a new revision is in force");
            }
        }
        Err(err) => {
            warn!(%err, "config: the newest configuration cannot be read; keeping the old one");
        }
    }
}
