use super::{
    CancelOutcome, IntakeError, JobIntake,
    job_intake::{FIRST_PAUSE, MAX_PAUSE, TRY_TIMEOUT, read_record},
};
use crate::{
    keys,
    ports::{Commit, KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_jobs::{Job, Progress};
use lycheeyard_protocol::{JobId, OrganisationId, QueueId};
use tokio::time::{Instant, sleep};

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
        let mut pause = FIRST_PAUSE;
        let mut unclear = false;
        loop {
            let until = deadline.min(Instant::now() + TRY_TIMEOUT);
            let problem = match self.try_cancel(queue, organisation, id, until).await {
                Ok(CancelOutcome::Unknown) => {
                    unclear = true;
                    None
                }
                Ok(outcome) => return Ok(outcome),
                Err(err) => Some(err),
            };
            if Instant::now() + pause >= deadline {
                return match problem {
                    Some(err) if !unclear => Err(err),
                    _ => Ok(CancelOutcome::Unknown),
                };
            }
            sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            pause = MAX_PAUSE.min(pause * 2);
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
            Commit::Done(_) => CancelOutcome::Cancelled,
            Commit::Conflict(items) if items.iter().any(|item| item.key == keys::cancel(id)) => {
                CancelOutcome::Cancelled
            }
            Commit::Conflict(_) => CancelOutcome::NoSuchJob,
            Commit::NoLease | Commit::Unknown => CancelOutcome::Unknown,
        })
    }
}
