use super::{
    committer::{CommitError, Committer, DeposedError, Revisions},
    event::Event,
    worker_epochs::WorkerEpochs,
};
use crate::{keys, metrics::record_rejected_record, ports::KeyValueStore};
use lycheeyard_protocol::Epoch;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{error, info, warn};

/// The pause after a write that the store has rejected.
const REJECTED_PAUSE: Duration = Duration::from_secs(1);

/// Draws the epochs for workers that have started again under their ids, or may have.
///
/// An epoch is the revision of a write in this term. Revisions only rise, so that it is above the epochs drawn before and below
/// that of the next term. The revisions of the records that the term writes serve as epochs too; one is drawn where none of them is new
/// enough.
pub(super) struct EpochDrawer<S> {
    pub committer: Committer<S>,
    pub epochs: WorkerEpochs,
}

impl<S: KeyValueStore> EpochDrawer<S> {
    /// Runs until the term has ended.
    pub async fn run(self) {
        loop {
            self.epochs.wait_until_wanted().await;
            let event = match self.draw().await {
                Ok(Some(epoch)) => {
                    info!(%epoch, "lead: epoch drawn for workers that have started again under their ids, or may have");
                    self.epochs.add(epoch);
                    Event::EpochDrawn
                }
                Ok(None) => {
                    warn!("lead: the write that draws an epoch has no revision; writing again");
                    continue;
                }
                Err(DeposedError) => Event::Deposed,
            };
            let has_ended = matches!(event, Event::Deposed);
            if self.committer.events.send(event).is_err() || has_ended {
                return;
            }
        }
    }

    async fn draw(&self) -> Result<Option<Epoch>, DeposedError> {
        let mut transaction = self.committer.new_transaction();
        let value = self.committer.term.epoch.to_string().into_bytes();
        transaction
            .writes
            .push((keys::EPOCH.to_owned(), value, None));
        let revisions = match self.committer.commit(transaction).await {
            Ok(revisions) => revisions,
            Err(CommitError::Deposed) => return Err(DeposedError),
            Err(CommitError::Rejected(rejection)) => {
                error!(%rejection, "lead: no epoch is drawn, the store will never take the write");
                record_rejected_record("epoch");
                sleep(REJECTED_PAUSE).await;
                Revisions::new()
            }
        };
        let revision = revisions.get(keys::EPOCH);
        Ok(revision.map(|revision| Epoch(revision.0)))
    }
}
