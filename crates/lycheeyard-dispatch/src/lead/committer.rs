use super::{
    event::EventSender,
    write_group::{Committed, WriteGroup},
};
use crate::{
    keys,
    metrics::record_rejected_record,
    ports::{
        CommitOutcome, Item, KeyValueStore, KvError, StoreRevision, Transaction, WriteRejection,
    },
    term::Term,
};
use lycheeyard_clients::Backoff;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;
use tracing::{error, info, warn};

/// How long the store may take to answer once a write has reached it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A link of 2 Mbit/s that other traffic shares sends at least this many bytes of records in a second.
const MIN_SEND_BYTES_PER_S: u64 = 50_000;
const FIRST_PAUSE: Duration = Duration::from_millis(30);
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// The revisions of written keys.
pub(super) type Revisions = BTreeMap<String, StoreRevision>;

/// The term is over: the scheduler's key no longer has the term's revision, or the scheduling loop has ended.
#[derive(Debug)]
pub(super) struct DeposedError;

/// Why a transaction is not committed.
#[derive(Debug)]
pub(super) enum CommitError {
    /// The term is over.
    Deposed,
    /// The store will never take the transaction.
    Rejected(WriteRejection),
}

/// Commits transactions of one term. Every transaction is fenced by the term's revision.
#[derive(Clone)]
pub(super) struct Committer<S> {
    pub store: S,
    pub term: Term,
    pub events: EventSender,
}

impl<S: KeyValueStore> Committer<S> {
    /// Starts a transaction that takes effect only in this term.
    pub fn new_transaction(&self) -> Transaction {
        Transaction {
            expect: vec![(keys::SCHEDULER.to_owned(), self.term.revision)],
            ..Transaction::default()
        }
    }

    /// Commits groups of writes one after the other. Of a group that the store rejects each part is committed alone, so that one record
    /// that the store will never take keeps no other from being written.
    pub async fn commit_all(self, groups: Vec<WriteGroup>) -> Result<Committed, DeposedError> {
        let mut committed = Committed::default();
        for group in groups {
            match self.commit_group(&group).await {
                Ok(revisions) => committed.revisions.extend(revisions),
                Err(CommitError::Deposed) => return Err(DeposedError),
                Err(CommitError::Rejected(rejection)) if group.len() == 1 => {
                    committed.reject(&group, rejection);
                }
                Err(CommitError::Rejected(_)) => self.commit_parts(group, &mut committed).await?,
            }
        }
        Ok(committed)
    }

    async fn commit_parts(
        &self,
        group: WriteGroup,
        committed: &mut Committed,
    ) -> Result<(), DeposedError> {
        for part in group {
            let part = vec![part];
            match self.commit_group(&part).await {
                Ok(revisions) => committed.revisions.extend(revisions),
                Err(CommitError::Deposed) => return Err(DeposedError),
                Err(CommitError::Rejected(rejection)) => committed.reject(&part, rejection),
            }
        }
        Ok(())
    }

    /// Commits the parts of a group in one transaction.
    async fn commit_group(&self, group: &WriteGroup) -> Result<Revisions, CommitError> {
        let mut transaction = self.new_transaction();
        for (_, part) in group {
            transaction.append(part.clone());
        }
        self.commit(transaction).await
    }

    /// Commits a transaction and retries it until the store confirms or rejects it or the term is over. Returns the new revisions.
    pub async fn commit(&self, mut transaction: Transaction) -> Result<Revisions, CommitError> {
        let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
        let mut failures: u32 = 0;
        loop {
            let deadline = Instant::now() + CALL_TIMEOUT + max_send_time(&transaction);
            match self.store.commit(&transaction, deadline).await {
                Ok(CommitOutcome::Done(revision)) => {
                    if failures > 0 {
                        info!(failures, "lead: the write was applied");
                    }
                    let keys = transaction.writes.iter().map(|(key, ..)| key.clone());
                    return Ok(keys.map(|key| (key, revision)).collect());
                }
                Ok(CommitOutcome::Conflict(items)) => {
                    let resolved = self.resolve_conflict(&mut transaction, &items);
                    let resolved = resolved.map_err(|DeposedError| CommitError::Deposed)?;
                    if let Some(revisions) = resolved {
                        return Ok(revisions);
                    }
                }
                Ok(CommitOutcome::NoLease | CommitOutcome::Unknown) => {
                    if failures == 0 {
                        warn!("lead: a write was not answered; sending it again");
                    }
                }
                Err(KvError::Rejected(rejection)) => return Err(CommitError::Rejected(rejection)),
                Err(err) => {
                    if failures == 0 {
                        warn!(%err, "lead: a write was refused; sending it again");
                    }
                }
            }
            failures = failures.saturating_add(1);
            if self.events.is_closed() {
                return Err(CommitError::Deposed);
            }
            backoff.wait().await;
        }
    }

    /// Determines after a conflict whether an earlier attempt was applied, and returns the revisions if so. Otherwise
    /// updates the expected revisions for the next attempt.
    fn resolve_conflict(
        &self,
        transaction: &mut Transaction,
        present: &[Item],
    ) -> Result<Option<Revisions>, DeposedError> {
        let present: BTreeMap<&str, &Item> = present
            .iter()
            .map(|item| (item.key.as_str(), item))
            .collect();
        let is_in_term = present
            .get(keys::SCHEDULER)
            .is_some_and(|item| item.revision == self.term.revision);
        if !is_in_term {
            return Err(DeposedError);
        }
        let expected = |key: &str| transaction.expect.iter().any(|(name, _)| name == key);
        let mut writes = transaction.writes.iter().filter(|(key, ..)| expected(key));
        let is_written = writes.all(|(key, value, _)| {
            present
                .get(key.as_str())
                .is_some_and(|item| item.value == *value)
        });
        if is_written {
            let revisions = present.values();
            return Ok(Some(
                revisions
                    .map(|item| (item.key.clone(), item.revision))
                    .collect(),
            ));
        }
        for (key, revision) in &mut transaction.expect {
            let found = present.get(key.as_str()).map(|item| item.revision);
            let found = found.unwrap_or_default();
            if found != *revision {
                warn!(%key, expected = %revision, %found, "lead: a record has another revision than expected");
                *revision = found;
            }
        }
        Ok(None)
    }
}

impl Committed {
    /// Notes that the store will never take the parts of a group.
    fn reject(&mut self, group: &WriteGroup, rejection: WriteRejection) {
        for (record, transaction) in group {
            let bytes = transaction.value_bytes();
            error!(?record, bytes, %rejection, "lead: a record is not written, the store will never take it");
            record_rejected_record(record.into());
            self.rejected.insert(record.clone());
        }
    }
}

/// Returns how long a transaction takes at most to reach the store.
fn max_send_time(transaction: &Transaction) -> Duration {
    let bytes = u64::try_from(transaction.value_bytes()).unwrap_or(u64::MAX);
    Duration::from_millis(bytes.saturating_mul(1000) / MIN_SEND_BYTES_PER_S)
}
