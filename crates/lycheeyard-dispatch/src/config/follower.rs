use super::{
    ConfigState, ServingConfig,
    next_call::{NextCall, Progress},
};
use crate::{
    clock::Clock,
    metrics::record_config_check,
    ports::{
        CommitOutcome, Item, ItemEvent, KeyValueStore, KvError, StoreRevision, Transaction,
        WatchResponse,
    },
};
use lycheeyard_clients::Backoff;
use lycheeyard_jobs::BootTime;
use std::{error::Error, time::Duration};
use thiserror::Error;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// How long one watch waits for a change. It is short, since each response also verifies the configuration.
const WATCH_WAIT: Duration = Duration::from_millis(900);
/// How long the first watch after a read waits. The value may have taken long to arrive, so it is to be verified soon.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest pause before a check after a compaction, which all instances learn of at the same time.
const MAX_CHECK_PAUSE: Duration = Duration::from_millis(150);
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

/// Why a call told nothing about the configuration.
#[derive(Debug, Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] KvError),
    #[error("the store gave no clear answer to a check of the revision")]
    UnclearCheck,
}

/// Keeps `state` up to date with the configuration in the store; never returns.
pub async fn follow_config<S: KeyValueStore, R: ConfigReader, C: Clock>(
    store: S,
    clock: C,
    reader: R,
    state: ConfigState,
) {
    let follower = Follower {
        store,
        clock,
        reader,
        state,
    };
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut progress = Progress::default();
    let mut is_reachable = true;
    loop {
        let call = progress.next();
        let is_check = matches!(call, NextCall::Check(_));
        match follower.call(call).await {
            Ok(next) => {
                if !is_reachable {
                    info!("config: the store answers again");
                }
                is_reachable = true;
                // A check is a write call: while watches fail, those between them become rarer.
                if !is_check {
                    backoff.reset();
                }
                progress.record_success(next);
            }
            Err(err) => {
                if is_reachable {
                    warn!(%err, "config: the store is unreachable");
                }
                is_reachable = false;
                progress.record_failure();
                backoff.wait().await;
            }
        }
    }
}

struct Follower<S, R, C> {
    store: S,
    clock: C,
    reader: R,
    state: ConfigState,
}

impl<S: KeyValueStore, R: ConfigReader, C: Clock> Follower<S, R, C> {
    /// Makes a call and returns the next one.
    async fn call(&self, call: NextCall) -> Result<NextCall, FollowError> {
        match call {
            NextCall::Read => self.read().await,
            NextCall::Check(item) => self.check(item).await,
            NextCall::FirstWatch { item, after } => self.watch(item, after, FIRST_WATCH_WAIT).await,
            NextCall::Watch { item, after } => self.watch(item, after, WATCH_WAIT).await,
        }
    }

    async fn read(&self) -> Result<NextCall, FollowError> {
        let requested_at = self.clock.boot();
        let deadline = Instant::now() + CALL_TIMEOUT;
        let response = self.store.get(self.reader.key(), deadline).await?;
        let Some(item) = response.item else {
            sleep(FIRST_PAUSE).await;
            return Ok(NextCall::Read);
        };
        self.apply(&item, requested_at);
        Ok(NextCall::FirstWatch {
            item: item.revision,
            after: response.revision,
        })
    }

    /// Asks whether the key still has the revision `item`, by a transaction that expects it and writes nothing. The store transfers
    /// the value only if it has changed.
    async fn check(&self, item: StoreRevision) -> Result<NextCall, FollowError> {
        let key = self.reader.key();
        let transaction = Transaction {
            expect: vec![(key.to_owned(), item)],
            ..Transaction::default()
        };
        let requested_at = self.clock.boot();
        let deadline = Instant::now() + CHECK_TIMEOUT;
        let outcome = self.store.commit(&transaction, deadline).await;
        record_config_check(&outcome);
        match outcome? {
            CommitOutcome::Done(revision) => {
                self.state.mark_verified(requested_at);
                let after = revision.max(item);
                Ok(NextCall::Watch { item, after })
            }
            CommitOutcome::Conflict(items) => {
                let Some(newest) = items.iter().find(|item| item.key == key) else {
                    return Ok(NextCall::Read);
                };
                self.apply(newest, requested_at);
                Ok(NextCall::FirstWatch {
                    item: newest.revision,
                    after: newest.revision,
                })
            }
            CommitOutcome::NoLease | CommitOutcome::Unknown => Err(FollowError::UnclearCheck),
        }
    }

    async fn watch(
        &self,
        item: StoreRevision,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<NextCall, FollowError> {
        let requested_at = self.clock.boot();
        let deadline = Instant::now() + wait + CALL_TIMEOUT;
        let response = self.store.watch(self.reader.key(), after, wait, deadline);
        let (events, revision) = match response.await? {
            WatchResponse::Changes(events, revision) => (events, revision),
            WatchResponse::Compacted => {
                info!("config: the store has compacted its history; checking the revision");
                sleep(rand::random_range(Duration::ZERO..MAX_CHECK_PAUSE)).await;
                return Ok(NextCall::Check(item));
            }
        };
        let newest = events.iter().rev().find_map(|event| match event {
            ItemEvent::Written(item) if item.key == self.reader.key() => Some(item),
            _ => None,
        });
        if let Some(newest) = newest {
            self.apply(newest, requested_at);
            return Ok(NextCall::FirstWatch {
                item: newest.revision,
                after: revision.max(after),
            });
        }
        // A degraded store may miss changes in a watch, so an empty response does not advance the revision.
        let verified_at = verified_until(requested_at, wait, self.clock.boot());
        self.state.mark_verified(verified_at);
        Ok(NextCall::Watch { item, after })
    }

    fn apply(&self, item: &Item, requested_at: BootTime) {
        match self.reader.read(&item.value) {
            Ok(config) => {
                let revision = config.revision;
                let routes = config.routes.len();
                if self.state.update(config, requested_at) {
                    info!(%revision, routes, "config: a new revision is in force");
                }
            }
            Err(err) => {
                warn!(%err, "config: the newest configuration cannot be read; keeping the old one");
            }
        }
    }
}

/// Returns the time up to which a watch without changes verifies the configuration. A response that took
/// at least the full wait was sent after it, so it verifies the end of the wait; an earlier one verifies only the time
/// of the request.
fn verified_until(requested_at: BootTime, wait: Duration, now: BootTime) -> BootTime {
    let wait_end = requested_at.after(wait);
    if wait_end.is_past(now) {
        wait_end
    } else {
        requested_at
    }
}
