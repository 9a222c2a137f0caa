use super::{
    IntakeError, JobIntake, SubmitOutcome,
    job_intake::read_record,
    retries::{Retries, RetryDecision},
};
use crate::{
    keys,
    ports::{CommitOutcome, Item, KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_jobs::{EndedJob, Job};
use tokio::time::Instant;

impl<S: KeyValueStore> JobIntake<S> {
    /// Stores a job unless its name is taken, with a few retries before `deadline`. Idempotent: a repeated submission
    /// is reported as already accepted.
    ///
    /// # Errors
    /// Returns an error only if the job is certainly not stored and will not be stored later.
    pub async fn submit(&self, job: &Job, deadline: Instant) -> Result<SubmitOutcome, IntakeError> {
        let transaction = submission(job)?;
        let mut retries = Retries::until(deadline);
        loop {
            let outcome = self
                .store
                .commit(&transaction, retries.next_deadline())
                .await;
            let (decision, error) = match outcome {
                Ok(CommitOutcome::Done(_)) => return Ok(SubmitOutcome::Accepted),
                Ok(CommitOutcome::Conflict(items)) => return compare_with_stored(job, &items),
                Ok(CommitOutcome::Unknown | CommitOutcome::NoLease) => {
                    (retries.record_unanswered().await, None)
                }
                Err(err) => (retries.record_failure(&err).await, Some(err)),
            };
            if decision == RetryDecision::Retry {
                continue;
            }
            return match error {
                Some(err) if !retries.may_take_effect() => Err(err.into()),
                _ => Ok(SubmitOutcome::Unknown),
            };
        }
    }
}

/// Builds the transaction that writes the job and the key that marks it as waiting, if the job does not exist and is not
/// archived.
fn submission(job: &Job) -> Result<Transaction, IntakeError> {
    let key = keys::job(&job.id);
    let value = serde_json::to_vec(job).map_err(|err| IntakeError::Codec {
        key: key.clone(),
        reason: err.to_string(),
    })?;
    Ok(Transaction {
        expect: vec![
            (key.clone(), StoreRevision(0)),
            (keys::ended(&job.id), StoreRevision(0)),
        ],
        writes: vec![
            (key, value, None),
            (keys::waiting(&job.queue, &job.id), Vec::new(), None),
        ],
        removes: Vec::new(),
    })
}

/// Determines the outcome of a submission that conflicts with stored items.
fn compare_with_stored(job: &Job, items: &[Item]) -> Result<SubmitOutcome, IntakeError> {
    let find = |key: &str| items.iter().find(|item| item.key == key);
    let (queue, organisation) = if let Some(item) = find(&keys::job(&job.id)) {
        let stored: Job = read_record(item)?;
        (stored.queue, stored.organisation)
    } else if let Some(item) = find(&keys::ended(&job.id)) {
        let stored: EndedJob = read_record(item)?;
        (stored.queue, stored.organisation)
    } else {
        return Ok(SubmitOutcome::Unknown);
    };
    let is_same = queue == job.queue && organisation == job.organisation;
    Ok(if is_same {
        SubmitOutcome::AlreadyAccepted
    } else {
        SubmitOutcome::NameTaken
    })
}
