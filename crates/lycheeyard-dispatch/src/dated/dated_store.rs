use super::RevisionTimes;
use crate::{
    clock::Clock,
    ports::{
        CommitOutcome, GetResponse, Item, KeyValueStore, KvError, LeaseId, Page, Renewal,
        StoreRevision, Transaction, WatchResponse,
    },
};
use std::time::Duration;
use tokio::time::Instant;

/// A store whose answers are noted in [`RevisionTimes`].
#[derive(Clone, Debug)]
pub struct DatedStore<S, C> {
    store: S,
    clock: C,
    times: RevisionTimes,
}

impl<S, C: Clock> DatedStore<S, C> {
    /// Notes the answers of `store` from now on. Clones note theirs in the same place.
    pub fn new(store: S, clock: C) -> Self {
        Self {
            store,
            clock,
            times: RevisionTimes::default(),
        }
    }

    /// Returns what the answers so far have shown.
    #[must_use]
    pub fn times(&self) -> &RevisionTimes {
        &self.times
    }

    fn note(&self, revision: StoreRevision) {
        self.times.note(revision, self.clock.boot());
    }
}

impl<S: KeyValueStore, C: Clock> KeyValueStore for DatedStore<S, C> {
    async fn get(&self, key: &str, deadline: Instant) -> Result<GetResponse, KvError> {
        let response = self.store.get(key, deadline).await?;
        self.note(response.revision);
        Ok(response)
    }

    async fn get_stale(&self, key: &str, deadline: Instant) -> Result<Option<Item>, KvError> {
        self.store.get_stale(key, deadline).await
    }

    async fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        deadline: Instant,
    ) -> Result<Page, KvError> {
        let page = self.store.range(prefix, after, deadline).await?;
        self.note(page.revision);
        Ok(page)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
        deadline: Instant,
    ) -> Result<WatchResponse, KvError> {
        let response = self.store.watch(prefix, after, wait, deadline).await?;
        if let WatchResponse::Changes(_, revision) = response {
            self.note(revision);
        }
        Ok(response)
    }

    async fn commit(
        &self,
        transaction: &Transaction,
        deadline: Instant,
    ) -> Result<CommitOutcome, KvError> {
        let outcome = self.store.commit(transaction, deadline).await?;
        if let CommitOutcome::Done(revision) = outcome {
            self.note(revision);
        }
        Ok(outcome)
    }

    async fn grant_lease(
        &self,
        ttl: Duration,
        deadline: Instant,
    ) -> Result<(LeaseId, Duration), KvError> {
        self.store.grant_lease(ttl, deadline).await
    }

    async fn renew_lease(&self, lease: LeaseId, deadline: Instant) -> Result<Renewal, KvError> {
        self.store.renew_lease(lease, deadline).await
    }

    async fn revoke_lease(&self, lease: LeaseId, deadline: Instant) -> Result<(), KvError> {
        self.store.revoke_lease(lease, deadline).await
    }
}
