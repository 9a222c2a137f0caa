use super::{
    CancelOutcome, IntakeError, JobIntake,
    job_intake::read_record,
    tries::{Next, Tries},
};
use crate::{
    keys,
    ports::{CommitOutcome, KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_jobs::{Job, Progress};
use lycheeyard_protocol::{JobId, OrganisationId, QueueId};
use tokio::time::Instant;

impl<S: KeyValueStore> JobIntake<S> {
    /// Stores that a job is cancelled.
    ///
    /// # Errors
    /// Fails when the cancellation certainly is not stored and will not be.
    pub async fn cancel(
        &self,
        queue: &QueueId,
        organisation: &OrganisationId,
        id: &JobId,
        deadline: Instant,
    ) -> Result<CancelOutcome, IntakeError> {
        let mut tries = Tries::until(deadline);
        loop {
            let until = tries.next_deadline();
            let outcome = self.try_cancel(queue, organisation, id, until).await;
            let (next, problem) = match outcome {
                Ok(CancelOutcome::Unknown) => (tries.unanswered().await, None),
                Err(IntakeError::Store(err)) => (tries.failed(&err).await, Some(err)),
                settled => return settled,
            };
            if next == Next::TryAgain {
                continue;
            }
            return match problem {
                Some(err) if !tries.is_unclear() => Err(err.into()),
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
        let Some(item) = self.store.get(&keys::job(id), deadline).await?.item else {
            return Ok(CancelOutcome::NoSuchJob);
        };
        let job: Job = read_record(&item)?;
        if job.queue != *queue || job.organisation != *organisation {
            return Ok(CancelOutcome::NoSuchJob);
        }
        if let Some(item) = self.store.get(&keys::progress(id), deadline).await?.item {
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
        Ok(match self.store.commit(&transaction, deadline).await? {
            CommitOutcome::Done(_) => CancelOutcome::Cancelled,
            CommitOutcome::Conflict(items)
                if items.iter().any(|item| item.key == keys::cancel(id)) =>
            {
                CancelOutcome::Cancelled
            }
            CommitOutcome::Conflict(_) => CancelOutcome::NoSuchJob,
            CommitOutcome::NoLease | CommitOutcome::Unknown => CancelOutcome::Unknown,
        })
    }
}
