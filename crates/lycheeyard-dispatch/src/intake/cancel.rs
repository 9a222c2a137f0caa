use super::{
    CancelOutcome, IntakeError, JobIntake,
    records::{RecordedOwner, RecordedState},
    retries::{Retries, RetryDecision},
    withdraw::WithdrawOutcome,
};
use crate::{
    keys,
    ports::{CommitOutcome, Item, KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_protocol::{JobId, OrganisationId, QueueId};
use tokio::time::Instant;

impl<S: KeyValueStore> JobIntake<S> {
    /// Stores the cancellation of a job, also of one that is not stored yet, with a few retries before `deadline`.
    ///
    /// # Errors
    /// Returns an error only if the cancellation is certainly not stored and will not be stored later.
    pub async fn cancel(
        &self,
        queue: &QueueId,
        organisation: &OrganisationId,
        id: &JobId,
        deadline: Instant,
    ) -> Result<CancelOutcome, IntakeError> {
        let mut retries = Retries::until(deadline, &self.write_retries);
        loop {
            let outcome = self.try_cancel(queue, organisation, id, &retries).await;
            let (decision, error) = match outcome {
                Ok(CancelOutcome::Unknown) => (retries.record_unanswered().await, None),
                Err(IntakeError::Store { key, error }) => {
                    let decision = retries.record_failure(&error).await;
                    (decision, Some(IntakeError::Store { key, error }))
                }
                Err(_) if retries.may_take_effect() => return Ok(CancelOutcome::Unknown),
                result => return result,
            };
            if decision == RetryDecision::Retry {
                continue;
            }
            return match error {
                Some(err) if !retries.may_take_effect() => Err(err),
                _ => Ok(CancelOutcome::Unknown),
            };
        }
    }

    async fn try_cancel(
        &self,
        queue: &QueueId,
        organisation: &OrganisationId,
        id: &JobId,
        retries: &Retries,
    ) -> Result<CancelOutcome, IntakeError> {
        loop {
            if let Some(item) = self.read_for_cancel(keys::job(id), retries).await? {
                return self
                    .try_cancel_stored(queue, organisation, id, &item, retries)
                    .await;
            }
            let ended = self.read_for_cancel(keys::ended(id), retries).await?;
            if ended.is_some() {
                return Ok(CancelOutcome::AlreadyEnded);
            }
            match self.try_withdraw(queue, organisation, id, retries).await? {
                WithdrawOutcome::Withdrawn => return Ok(CancelOutcome::NoSuchJob),
                WithdrawOutcome::Unknown => return Ok(CancelOutcome::Unknown),
                WithdrawOutcome::JobStored => {}
            }
        }
    }

    async fn try_cancel_stored(
        &self,
        queue: &QueueId,
        organisation: &OrganisationId,
        id: &JobId,
        item: &Item,
        retries: &Retries,
    ) -> Result<CancelOutcome, IntakeError> {
        let job: RecordedOwner = self.decode(item)?;
        if job.queue != *queue || job.organisation != *organisation {
            return Ok(CancelOutcome::NoSuchJob);
        }
        if let Some(item) = self.read_for_cancel(keys::progress(id), retries).await? {
            let progress: RecordedState = self.decode(&item)?;
            if progress.state.is_final() {
                return Ok(CancelOutcome::AlreadyEnded);
            }
        }
        let transaction = Transaction {
            expect: vec![
                (item.key.clone(), item.revision),
                (keys::cancel(id), StoreRevision(0)),
            ],
            writes: vec![(keys::cancel(id), Vec::new(), None)],
            removes: vec![keys::waiting(queue, id)],
        };
        let outcome = self
            .store
            .commit(&transaction, retries.next_deadline())
            .await;
        Ok(match outcome.map_err(IntakeError::at(&keys::cancel(id)))? {
            CommitOutcome::Done(_) => CancelOutcome::Cancelled,
            CommitOutcome::Conflict(items)
                if items.iter().any(|item| item.key == keys::cancel(id)) =>
            {
                CancelOutcome::Cancelled
            }
            // The job was archived after it was read.
            CommitOutcome::Conflict(_) => CancelOutcome::AlreadyEnded,
            CommitOutcome::NoLease | CommitOutcome::Unknown => CancelOutcome::Unknown,
        })
    }

    async fn read_for_cancel(
        &self,
        key: String,
        retries: &Retries,
    ) -> Result<Option<Item>, IntakeError> {
        let read = self.read_once(&key, retries).await;
        read.map_err(IntakeError::at(&key))
    }
}
