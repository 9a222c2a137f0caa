use super::KvError;
use serde::{Deserialize, Serialize};
use std::{fmt, future::Future, time::Duration};
use tokio::time::Instant;

/// The number of a change in the store; each change increases it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

/// The identifier of a lease in the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub u64);

/// A key, its value and their revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the last write.
    pub revision: StoreRevision,
    /// The revision of the creation.
    pub created: StoreRevision,
}

/// The result of reading one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GetResponse {
    /// The item, if the key exists.
    pub item: Option<Item>,
    /// The store's revision at the time of the read; a watch can start from it.
    pub revision: StoreRevision,
}

/// A change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ItemEvent {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed(String),
}

/// One page of the keys under a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The items, ordered by key.
    pub items: Vec<Item>,
    /// Whether more keys follow.
    pub has_more: bool,
    /// The store's revision at the time of the read.
    pub revision: StoreRevision,
}

/// The result of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResponse {
    /// The changes after the requested revision, up to the revision given here.
    Changes(Vec<ItemEvent>, StoreRevision),
    /// The store no longer has the history after the requested revision.
    Compacted,
}

/// A set of writes that the store applies atomically, and only if all expectations hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Keys and the revisions that they must have; revision 0 means that the key must not exist.
    pub expect: Vec<(String, StoreRevision)>,
    /// Keys to write, each with its value and optional lease.
    pub writes: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

impl Transaction {
    /// Returns the size of all values to write, in bytes.
    #[must_use]
    pub fn value_bytes(&self) -> usize {
        self.writes.iter().map(|(_, value, _)| value.len()).sum()
    }

    /// Adds the expectations, writes and removals of another transaction.
    pub fn append(&mut self, other: Transaction) {
        self.expect.extend(other.expect);
        self.writes.extend(other.writes);
        self.removes.extend(other.removes);
    }

    /// Returns the size of the largest value to write, in bytes.
    #[must_use]
    pub fn max_value_bytes(&self) -> usize {
        let sizes = self.writes.iter().map(|(_, value, _)| value.len());
        sizes.max().unwrap_or_default()
    }

    /// Returns whether the transaction changes nothing, so that it only compares revisions.
    #[must_use]
    pub fn is_check(&self) -> bool {
        self.writes.is_empty() && self.removes.is_empty()
    }
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The transaction was applied as this revision.
    Done(StoreRevision),
    /// An expectation did not hold. Contains the current items of the expected keys, without those that do not exist.
    Conflict(Vec<Item>),
    /// A lease in the transaction does not exist; nothing was written.
    NoLease,
    /// There was no answer; the transaction may have been applied or may be applied later.
    Unknown,
}

/// The outcome of a lease renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Renewal {
    /// The lease is valid for this long from the time at which the store received the call.
    Renewed(Duration),
    /// The lease has ended.
    Ended,
}

/// A key-value store with transactions, leases and watches.
///
/// Every call returns by its deadline, except that the answer to a read may take longer while it keeps arriving.
pub trait KeyValueStore: Clone + Send + Sync + 'static {
    /// Reads one key. The answer has to begin by `deadline`; it may take longer while it keeps arriving.
    ///
    /// # Errors
    /// Returns an error if the store does not answer or refuses the call.
    fn get(
        &self,
        key: &str,
        deadline: Instant,
    ) -> impl Future<Output = Result<GetResponse, KvError>> + Send;

    /// Reads one key as it was at some time in the last seconds, at a lower cost than [`Self::get`]. That the key is absent proves
    /// nothing. The answer has to begin by `deadline`; it may take longer while it keeps arriving.
    ///
    /// # Errors
    /// Returns an error if the store does not answer or refuses the call.
    fn get_stale(
        &self,
        key: &str,
        deadline: Instant,
    ) -> impl Future<Output = Result<Option<Item>, KvError>> + Send;

    /// Reads a page of the keys under a prefix that follow the key `after`. The answer has to begin by `deadline`; it may
    /// take longer while it keeps arriving.
    ///
    /// # Errors
    /// Returns an error if the store does not answer or refuses the call.
    fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        deadline: Instant,
    ) -> impl Future<Output = Result<Page, KvError>> + Send;

    /// Waits up to `wait` for changes under a prefix that are newer than the revision `after`. The answer has to begin by
    /// `deadline`; it may take longer while it keeps arriving.
    ///
    /// # Errors
    /// Returns an error if the store does not answer or refuses the call.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
        deadline: Instant,
    ) -> impl Future<Output = Result<WatchResponse, KvError>> + Send;

    /// Commits a transaction. The answer to one that changes nothing has to begin by `deadline`; it may take longer while it keeps
    /// arriving.
    ///
    /// # Errors
    /// Returns an error only if the transaction was certainly not applied and will not be applied later.
    fn commit(
        &self,
        transaction: &Transaction,
        deadline: Instant,
    ) -> impl Future<Output = Result<CommitOutcome, KvError>> + Send;

    /// Creates a lease. Returns it with the duration that the store granted.
    ///
    /// # Errors
    /// Returns an error if the store does not answer or refuses the call; a lease that was created nevertheless
    /// expires.
    fn grant_lease(
        &self,
        ttl: Duration,
        deadline: Instant,
    ) -> impl Future<Output = Result<(LeaseId, Duration), KvError>> + Send;

    /// Renews a lease.
    ///
    /// # Errors
    /// Returns an error if the store does not answer or refuses the call; the lease may have been renewed.
    fn renew_lease(
        &self,
        lease: LeaseId,
        deadline: Instant,
    ) -> impl Future<Output = Result<Renewal, KvError>> + Send;

    /// Revokes a lease and removes its keys.
    ///
    /// # Errors
    /// Returns an error if the store does not answer or refuses the call; the lease may have ended.
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
