use super::KvError;
use serde::{Deserialize, Serialize};
use std::{fmt, future::Future, time::Duration};
use tokio::time::Instant;

/// The store's counter of changes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

/// Names a lease of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The change that wrote the value.
    pub revision: StoreRevision,
    /// The change that created the key.
    pub created: StoreRevision,
}

/// A key as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GetResponse {
    /// The key with its value, if it exists.
    pub item: Option<Item>,
    /// The store's revision when the key was read; changes can be followed from there on.
    pub revision: StoreRevision,
}

/// A change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ItemEvent {
    /// It was written.
    Written(Item),
    /// It was removed.
    Removed(String),
}

/// One page of the keys under a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The keys in their order.
    pub items: Vec<Item>,
    /// Whether there are more.
    pub has_more: bool,
    /// The store's revision when the page was read.
    pub revision: StoreRevision,
}

/// What a watch brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResponse {
    /// The changes since the given revision, up to the one here.
    Changes(Vec<ItemEvent>, StoreRevision),
    /// The history since the given revision is no longer kept.
    Compacted,
}

/// A change that is carried out whole or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Keys and the revisions that they must have; 0 for a key that must not exist.
    pub expect: Vec<(String, StoreRevision)>,
    /// Keys to write, with their values and leases.
    pub writes: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// It was carried out and made this revision.
    Done(StoreRevision),
    /// An expectation did not hold; the keys that were expected are as given, absent ones left out.
    Conflict(Vec<Item>),
    /// The lease that it names does not exist; nothing was done.
    NoLease,
    /// There was no answer. It may have been carried out, or may be later.
    Unknown,
}

/// Whether a lease could be renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Renewal {
    /// It runs for this long from the arrival of the call.
    Renewed(Duration),
    /// It has ended.
    Ended,
}

/// A key-value store with transactions, leases and watches.
///
/// Every call waits for an answer until its deadline at most.
pub trait KeyValueStore: Clone + Send + Sync + 'static {
    /// Reads one key.
    ///
    /// # Errors
    /// Fails when there is no answer.
    fn get(
        &self,
        key: &str,
        deadline: Instant,
    ) -> impl Future<Output = Result<GetResponse, KvError>> + Send;

    /// Reads a page of the keys under a prefix, after the key given.
    ///
    /// # Errors
    /// Fails when there is no answer.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        deadline: Instant,
    ) -> impl Future<Output = Result<Page, KvError>> + Send;

    /// Waits for changes under a prefix that are newer than a revision, for `wait` at most.
    ///
    /// # Errors
    /// Fails when there is no answer.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
        deadline: Instant,
    ) -> impl Future<Output = Result<WatchResponse, KvError>> + Send;

    /// Carries a transaction out.
    ///
    /// # Errors
    /// Fails only when the transaction certainly was not carried out and will not be.
    fn commit(
        &self,
        transaction: &Transaction,
        deadline: Instant,
    ) -> impl Future<Output = Result<CommitOutcome, KvError>> + Send;

    /// Makes a lease.
    ///
    /// # Errors
    /// Fails when there is no answer; a lease that was made all the same ends by itself.
    fn grant_lease(
        &self,
        ttl: Duration,
        deadline: Instant,
    ) -> impl Future<Output = Result<(LeaseId, Duration), KvError>> + Send;

    /// Renews a lease.
    ///
    /// # Errors
    /// Fails when there is no answer; the lease may have been renewed.
    fn renew_lease(
        &self,
        lease: LeaseId,
        deadline: Instant,
    ) -> impl Future<Output = Result<Renewal, KvError>> + Send;

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    /// Fails when there is no answer; the lease may have ended.
    fn revoke_lease(
        &self,
        lease: LeaseId,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), KvError>> + Send;
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
