use super::event::{Event, EventSender};
use crate::{
    keys,
    ports::{CommitOutcome, Item, KeyValueStore, StoreRevision, Transaction, WaveFormat},
    term::Term,
};
use lycheeyard_clients::Backoff;
use lycheeyard_jobs::{Batch, EndedJob, JobChange, WaveChange, WaveNumber};
use lycheeyard_protocol::JobId;
use std::{collections::BTreeMap, time::Duration};
use tokio::{sync::mpsc, time::Instant};
use tracing::{info, warn};

/// The maximum number of jobs in a batch, which is one transaction. The store accepts at most 32 entries in it: one for
/// the term, and three for each job.
pub(super) const MAX_BATCH_JOBS: usize = 10;
/// The maximum number of jobs that are archived in one transaction: six entries for each.
pub(super) const MAX_ARCHIVED_JOBS: usize = 5;
/// The maximum number of archived jobs that are removed in one transaction: one entry for each.
const MAX_REMOVALS: usize = 30;
/// How long the store may take to answer once a write has reached it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A link of 2 Mbit/s that other traffic shares sends at least this many bytes of records in a second.
const MIN_SEND_BYTES_PER_S: u64 = 50_000;
const FIRST_PAUSE: Duration = Duration::from_millis(30);
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// A request to the writer.
pub(super) enum WriteRequest {
    Batch(Batch),
    /// Replaces the records of jobs, [`MAX_ARCHIVED_JOBS`] at most, by those of the archive.
    Archive(Vec<EndedJob>),
    /// Removes jobs from the archive.
    Remove(Vec<JobId>),
}

/// Writes the records of one term, one request at a time. Every transaction is fenced by the term's revision.
pub(super) struct Writer<S, F> {
    pub store: S,
    pub waves: F,
    pub term: Term,
    pub revisions: BTreeMap<JobId, StoreRevision>,
    pub wave_revisions: BTreeMap<WaveNumber, StoreRevision>,
    pub events: EventSender,
}

/// The term is over: the scheduler's key no longer has the term's revision, or the scheduling loop has ended.
struct DeposedError;

impl<S: KeyValueStore, F: WaveFormat> Writer<S, F> {
    /// Serves requests until the term ends.
    pub async fn run(mut self, mut requests: mpsc::UnboundedReceiver<WriteRequest>) {
        while let Some(request) = requests.recv().await {
            let outcome = match request {
                WriteRequest::Batch(batch) => self.write_batch(batch).await.map(Some),
                WriteRequest::Archive(jobs) => self.archive_jobs(jobs).await.map(Some),
                WriteRequest::Remove(jobs) => self.remove_jobs(&jobs).await.map(|()| None),
            };
            let event = match outcome {
                Ok(Some(event)) => event,
                Ok(None) => continue,
                Err(DeposedError) => Event::Deposed,
            };
            if self.events.send(event).is_err() {
                return;
            }
        }
    }

    async fn write_batch(&mut self, batch: Batch) -> Result<Event, DeposedError> {
        if !batch.changes.is_empty() {
            self.write_changes(&batch.changes).await?;
        }
        for change in &batch.waves {
            self.write_wave(change).await?;
        }
        Ok(Event::Written(batch))
    }

    async fn archive_jobs(&mut self, jobs: Vec<EndedJob>) -> Result<Event, DeposedError> {
        let mut transaction = self.new_transaction();
        for ended in &jobs {
            let id = &ended.job;
            let value = match serde_json::to_vec(ended) {
                Ok(value) => value,
                Err(err) => {
                    warn!(job = %id, %err, "lead: the record of an ended job cannot be encoded");
                    continue;
                }
            };
            let expected = self.revisions.get(id).copied().unwrap_or_default();
            transaction.expect.push((keys::progress(id), expected));
            transaction.expect.push((keys::ended(id), StoreRevision(0)));
            transaction.writes.push((keys::ended(id), value, None));
            transaction
                .removes
                .extend([keys::job(id), keys::cancel(id), keys::progress(id)]);
        }
        self.commit_with_retries(&transaction).await?;
        for ended in &jobs {
            self.revisions.remove(&ended.job);
        }
        Ok(Event::Archived(jobs))
    }

    async fn remove_jobs(&mut self, jobs: &[JobId]) -> Result<(), DeposedError> {
        for jobs in jobs.chunks(MAX_REMOVALS) {
            let mut transaction = self.new_transaction();
            transaction.removes = jobs.iter().map(keys::ended).collect();
            self.commit_with_retries(&transaction).await?;
        }
        Ok(())
    }

    async fn write_changes(&mut self, changes: &[JobChange]) -> Result<(), DeposedError> {
        let mut transaction = self.new_transaction();
        for change in changes {
            let key = keys::progress(&change.job);
            let value = match serde_json::to_vec(&change.progress) {
                Ok(value) => value,
                Err(err) => {
                    warn!(job = %change.job, %err, "lead: a progress record cannot be encoded");
                    continue;
                }
            };
            let expected = self.revisions.get(&change.job).copied().unwrap_or_default();
            transaction.expect.push((key.clone(), expected));
            transaction.writes.push((key, value, None));
            if let Some(queue) = &change.leaves_queue {
                transaction.removes.push(keys::waiting(queue, &change.job));
            }
        }
        let revisions = self.commit_with_retries(&transaction).await?;
        for change in changes {
            if let Some(revision) = revisions.get(&keys::progress(&change.job)) {
                self.revisions.insert(change.job.clone(), *revision);
            }
        }
        Ok(())
    }

    async fn write_wave(&mut self, change: &WaveChange) -> Result<(), DeposedError> {
        let key = keys::maintenance(change.number);
        let value = match serde_json::to_vec(&change.progress) {
            Ok(value) => value,
            Err(err) => {
                warn!(wave = %change.number, %err, "lead: the record of a wave cannot be encoded");
                return Ok(());
            }
        };
        let mut transaction = self.new_transaction();
        let expected = self.wave_revisions.get(&change.number);
        let expected = expected.copied().unwrap_or_default();
        transaction.expect.push((key.clone(), expected));
        transaction.writes.push((key.clone(), value, None));
        let state = change.progress.state;
        let (status_key, status) = self.waves.status(change.number, state);
        transaction.writes.push((status_key, status, None));
        let revisions = self.commit_with_retries(&transaction).await?;
        if let Some(revision) = revisions.get(&key) {
            self.wave_revisions.insert(change.number, *revision);
        }
        info!(wave = %change.number, %state, begun = change.progress.begun.len(), "wave: recorded");
        Ok(())
    }

    /// Starts a transaction that takes effect only in this term.
    fn new_transaction(&self) -> Transaction {
        Transaction {
            expect: vec![(keys::SCHEDULER.to_owned(), self.term.revision)],
            ..Transaction::default()
        }
    }

    /// Commits a transaction and retries it until the store confirms it or the term is over. Returns the new revisions.
    async fn commit_with_retries(
        &self,
        transaction: &Transaction,
    ) -> Result<BTreeMap<String, StoreRevision>, DeposedError> {
        let mut transaction = transaction.clone();
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
                    if let Some(revisions) = self.resolve_conflict(&mut transaction, &items)? {
                        return Ok(revisions);
                    }
                }
                Ok(CommitOutcome::NoLease | CommitOutcome::Unknown) => {
                    if failures == 0 {
                        warn!("lead: a write was not answered; sending it again");
                    }
                }
                Err(err) => {
                    if failures == 0 {
                        warn!(%err, "lead: a write was refused; sending it again");
                    }
                }
            }
            failures = failures.saturating_add(1);
            if self.events.is_closed() {
                return Err(DeposedError);
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
    ) -> Result<Option<BTreeMap<String, StoreRevision>>, DeposedError> {
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

/// Returns how long a transaction takes at most to reach the store.
fn max_send_time(transaction: &Transaction) -> Duration {
    let bytes = u64::try_from(transaction.value_bytes()).unwrap_or(u64::MAX);
    Duration::from_millis(bytes.saturating_mul(1000) / MIN_SEND_BYTES_PER_S)
}
