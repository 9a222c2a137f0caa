use super::{
    CancelOutcome, IntakeError, JobIntake,
    job_intake::read_record,
    retries::{Retries, RetryDecision},
};
use crate::{
    keys,
    ports::{CommitOutcome, Item, KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_jobs::{Job, Progress};
use lycheeyard_protocol::{JobId, OrganisationId, QueueId};
use tokio::time::Instant;

impl<S: KeyValueStore> JobIntake<S> {
    /// Stores the cancellation of a job, with a few retries before `deadline`.
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
        let mut retries = Retries::until(deadline);
        loop {
            let attempt_deadline = retries.next_deadline();
            let outcome = self
                .try_cancel(queue, organisation, id, attempt_deadline)
                .await;
            let (decision, error) = match outcome {
                Ok(CancelOutcome::Unknown) => (retries.record_unanswered().await, None),
                Err(IntakeError::Store { key, error }) => {
                    let decision = retries.record_failure(&error).await;
                    (decision, Some(IntakeError::Store { key, error }))
                }
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
        deadline: Instant,
    ) -> Result<CancelOutcome, IntakeError> {
        let Some(item) = self.get_once(&keys::job(id), deadline).await? else {
            let ended = self.get_once(&keys::ended(id), deadline).await?;
            return Ok(if ended.is_some() {
                CancelOutcome::AlreadyEnded
            } else {
                CancelOutcome::NoSuchJob
            });
        };
        let job: Job = read_record(&item)?;
        if job.queue != *queue || job.organisation != *organisation {
            return Ok(CancelOutcome::NoSuchJob);
        }
        if let Some(item) = self.get_once(&keys::progress(id), deadline).await? {
            let progress: Progress = read_record(&item)?;
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
        let outcome = self.store.commit(&transaction, deadline).await;
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

    async fn get_once(&self, key: &str, deadline: Instant) -> Result<Option<Item>, IntakeError> {
        let response = self.store.get(key, deadline).await;
        let response = response.map_err(IntakeError::at(key))?;
        Ok(response.item)
    }
}
