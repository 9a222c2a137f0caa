use lycheeyard_dispatch::{CommitOutcome, Item, ItemEvent, LeaseId, StoreRevision, Transaction};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// The content of a store with transactions, leases and watches, for use in stand-ins.
///
/// Leases use the clock of the Tokio runtime ([`tokio::time::Instant`]).
#[derive(Debug, Default)]
pub struct StoreData {
    /// The revision of the last change.
    pub revision: u64,
    items: BTreeMap<String, (Item, Option<LeaseId>)>,
    history: Vec<(u64, String, ItemEvent)>,
    /// Changes up to this revision are no longer in the history.
    pub compacted: u64,
    /// Suppresses the events of watches; changes are still applied.
    pub drops_watch_events: bool,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    next_lease: u64,
}

impl StoreData {
    /// The item under a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Item> {
        self.items.get(key).map(|(item, _)| item.clone())
    }

    /// The items whose keys begin with `prefix`, in key order.
    #[must_use]
    pub fn items_under(&self, prefix: &str) -> Vec<Item> {
        let items = self.items.values().map(|(item, _)| item);
        items
            .filter(|item| item.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// The changes of keys under `prefix` after the given revision.
    #[must_use]
    pub fn events(&self, prefix: &str, after: StoreRevision) -> Vec<ItemEvent> {
        if self.drops_watch_events {
            return Vec::new();
        }
        let first = self
            .history
            .partition_point(|(revision, ..)| *revision <= after.0);
        let newer = self.history[first..].iter();
        let newer = newer.filter(|(_, key, _)| key.starts_with(prefix));
        newer.map(|(_, _, event)| event.clone()).collect()
    }

    /// Removes all changes so far from the history, as the compaction of a store does.
    pub fn compact_history(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Applies a transaction if its expected revisions match and all its leases exist.
    ///
    /// Otherwise it changes nothing and returns the conflicting items or [`CommitOutcome::NoLease`].
    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        let matches = transaction.expect.iter().all(|(key, revision)| {
            self.get(key).map_or(StoreRevision(0), |item| item.revision) == *revision
        });
        if !matches {
            let keys = transaction.expect.iter();
            return CommitOutcome::Conflict(keys.filter_map(|(key, _)| self.get(key)).collect());
        }
        let leases = transaction.writes.iter().filter_map(|(.., lease)| *lease);
        if leases
            .into_iter()
            .any(|lease| !self.leases.contains_key(&lease))
        {
            return CommitOutcome::NoLease;
        }
        self.revision += 1;
        for (key, value, lease) in &transaction.writes {
            self.write(key, value, *lease);
        }
        for key in &transaction.removes {
            self.remove(key);
        }
        CommitOutcome::Done(StoreRevision(self.revision))
    }

    /// Writes a key unconditionally.
    pub fn put(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        self.write(key, value, None);
    }

    /// Grants a lease that expires after `ttl` unless it is renewed.
    pub fn grant(&mut self, ttl: Duration) -> LeaseId {
        self.next_lease += 1;
        let lease = LeaseId(self.next_lease);
        self.leases.insert(lease, (Instant::now() + ttl, ttl));
        lease
    }

    /// Renews a lease and returns its time to live, or `None` if it has ended.
    pub fn renew(&mut self, lease: LeaseId) -> Option<Duration> {
        let (until, ttl) = self.leases.get_mut(&lease)?;
        *until = Instant::now() + *ttl;
        Some(*ttl)
    }

    /// Ends a lease and removes the keys attached to it.
    pub fn revoke_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .values()
            .filter(|(_, attached_to)| *attached_to == Some(lease))
            .map(|(item, _)| item.key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    /// Ends the leases whose time to live has passed.
    pub fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let expired: Vec<LeaseId> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    fn write(&mut self, key: &str, value: &[u8], lease: Option<LeaseId>) {
        let revision = StoreRevision(self.revision);
        let created = self.get(key).map_or(revision, |item| item.created);
        let item = Item {
            key: key.to_owned(),
            value: value.to_vec(),
            revision,
            created,
        };
        let event = ItemEvent::Written(item.clone());
        self.history.push((self.revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), (item, lease));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = ItemEvent::Removed(key.to_owned());
            self.history.push((self.revision, key.to_owned(), event));
        }
    }
}
