use super::{
    committer::{CommitError, Committer, DeposedError, Revisions},
    event::Event,
};
use crate::{
    keys,
    metrics::record_rejected_record,
    ports::{KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_jobs::{ClosedQueue, OrganisationQueue};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::watch;
use tracing::{error, warn};

/// The maximum number of queues that one transaction changes. The store accepts at most 32 entries in it: two expectations and
/// the number of the change come with them.
const MAX_CHANGES: usize = 29;

/// The queues that are closed, for each organisation, and what the store is to say of them.
pub(super) type ClosedQueues = BTreeMap<OrganisationQueue, ClosedQueue>;

/// Keeps the keys of closed queues in the store as the scheduling loop wants them, until the term ends.
///
/// Each transaction also writes the number of the change, and expects the revision that the previous change wrote. So a late copy of a
/// transaction cannot close a queue again that was opened since.
pub(super) struct ClosedQueueWriter<S> {
    pub committer: Committer<S>,
    pub wanted: watch::Receiver<ClosedQueues>,
    /// What the store says.
    pub stored: ClosedQueues,
    pub changes: u64,
    /// The revision of the last change; 0 before the first one of the term, since the keys of the term before ended with its lease.
    pub revision: StoreRevision,
}

impl<S: KeyValueStore> ClosedQueueWriter<S> {
    /// Creates the writer of a term in which nothing is closed yet.
    pub fn new(committer: Committer<S>, wanted: watch::Receiver<ClosedQueues>) -> Self {
        Self {
            committer,
            wanted,
            stored: ClosedQueues::new(),
            changes: 0,
            revision: StoreRevision(0),
        }
    }

    /// Runs until the term has ended.
    pub async fn run(mut self) {
        while self.wanted.changed().await.is_ok() {
            if let Err(DeposedError) = self.write_changes().await {
                // The loop may have ended already.
                let _ = self.committer.events.send(Event::Deposed);
                return;
            }
        }
    }

    /// Writes one transaction after the other, until the store says what is wanted.
    async fn write_changes(&mut self) -> Result<(), DeposedError> {
        loop {
            let wanted = self.wanted.borrow_and_update().clone();
            let changed = changed_queues(&self.stored, &wanted);
            if changed.is_empty() {
                return Ok(());
            }
            self.changes += 1;
            let transaction = self.transaction(&changed, &wanted);
            let revisions = match self.committer.commit(transaction).await {
                Ok(revisions) => revisions,
                Err(CommitError::Deposed) => return Err(DeposedError),
                Err(CommitError::Rejected(rejection)) => {
                    error!(%rejection, "lead: keys of closed queues are not written, the store will never take them");
                    record_rejected_record("closed-queue");
                    Revisions::new()
                }
            };
            let revision = revisions.get(keys::CLOSED_QUEUES);
            self.revision = revision.copied().unwrap_or(self.revision);
            for of in changed {
                match wanted.get(&of) {
                    Some(value) => self.stored.insert(of, *value),
                    None => self.stored.remove(&of),
                };
            }
        }
    }

    fn transaction(
        &self,
        changed: &BTreeSet<OrganisationQueue>,
        wanted: &ClosedQueues,
    ) -> Transaction {
        let lease = Some(self.committer.term.lease);
        let number = self.changes.to_string().into_bytes();
        let mut transaction = self.committer.new_transaction();
        let number_key = keys::CLOSED_QUEUES.to_owned();
        transaction.expect.push((number_key.clone(), self.revision));
        transaction.writes.push((number_key, number, lease));
        for of in changed {
            let key = keys::closed_queue(&of.queue, &of.organisation);
            match wanted.get(of).map(serde_json::to_vec) {
                Some(Ok(value)) => transaction.writes.push((key, value, lease)),
                Some(Err(err)) => {
                    warn!(%key, %err, "lead: the record of a closed queue cannot be encoded");
                }
                None => transaction.removes.push(key),
            }
        }
        transaction
    }
}

/// Returns the queues of which the store says something else than is wanted, as many as one transaction may change. Those that
/// are to be opened come first.
fn changed_queues(stored: &ClosedQueues, wanted: &ClosedQueues) -> BTreeSet<OrganisationQueue> {
    let opened = stored.keys().filter(|of| !wanted.contains_key(*of));
    let closed = wanted
        .iter()
        .filter(|(of, value)| stored.get(*of) != Some(*value));
    let changed = opened.chain(closed.map(|(of, _)| of));
    changed.take(MAX_CHANGES).cloned().collect()
}
