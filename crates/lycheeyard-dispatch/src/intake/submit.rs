use super::{
    IntakeError, JobIntake, QueueClosed, SubmitOutcome,
    records::RecordedOwner,
    retries::{Retries, RetryDecision},
};
use crate::{
    keys,
    ports::{CommitOutcome, Item, KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_jobs::{Job, is_never_refused};
use tokio::time::Instant;
use tracing::error;

impl<S: KeyValueStore> JobIntake<S> {
    /// Stores a job of an organisation without a guarantee, as [`Self::submit_with_guarantee`] does.
    ///
    /// # Errors
    /// Returns an error only if the job is certainly not stored and will not be stored later.
    pub async fn submit(&self, job: &Job, deadline: Instant) -> Result<SubmitOutcome, IntakeError> {
        self.submit_with_guarantee(job, 0, deadline).await
    }

    /// Stores a job unless its name is taken, it was cancelled before or its queue is closed for its organisation, to which `guarantee`
    /// accelerators are guaranteed, with a few retries before `deadline`. Idempotent: a repeated submission is reported as already accepted, also
    /// while the queue is closed.
    ///
    /// # Errors
    /// Returns an error only if the job is certainly not stored and will not be stored later.
    pub async fn submit_with_guarantee(
        &self,
        job: &Job,
        guarantee: u32,
        deadline: Instant,
    ) -> Result<SubmitOutcome, IntakeError> {
        let transaction = submission(job, guarantee)?;
        let mut retries = Retries::until(deadline, &self.write_retries);
        loop {
            let outcome = self
                .store
                .commit(&transaction, retries.next_deadline())
                .await;
            let (decision, error) = match outcome {
                Ok(CommitOutcome::Done(_)) => return Ok(SubmitOutcome::Accepted),
                Ok(CommitOutcome::Conflict(items)) => {
                    return Ok(self.resolve_conflict(job, &items, retries.may_take_effect()));
                }
                Ok(CommitOutcome::Unknown | CommitOutcome::NoLease) => {
                    (retries.record_unanswered().await, None)
                }
                Err(err) => (retries.record_failure(&err).await, Some(err)),
            };
            if decision == RetryDecision::Retry {
                continue;
            }
            return match error {
                Some(err) if !retries.may_take_effect() => {
                    Err(IntakeError::at(&keys::job(&job.id))(err))
                }
                _ => Ok(SubmitOutcome::Unknown),
            };
        }
    }

    /// Determines the outcome of a submission that conflicts with stored items. A job that was cancelled before it was stored stays
    /// withdrawn. One that is stored is accepted whether or not its queue is closed. One of which an earlier attempt may still take
    /// effect is not refused, nor is one whose name a record has that cannot be decoded.
    fn resolve_conflict(
        &self,
        job: &Job,
        items: &[Item],
        may_be_stored_later: bool,
    ) -> SubmitOutcome {
        let find = |key: &str| items.iter().find(|item| item.key == key);
        let stored = find(&keys::job(&job.id)).or_else(|| find(&keys::ended(&job.id)));
        let Some(stored) = stored else {
            // No copy of the submission can be stored any more.
            if find(&withdrawn(job)).is_some() {
                return SubmitOutcome::Withdrawn;
            }
            return match find(&closed_queue(job)) {
                Some(closed) if !may_be_stored_later => {
                    SubmitOutcome::Refused(QueueClosed::read(closed, job))
                }
                _ => SubmitOutcome::Unknown,
            };
        };
        let Ok(stored) = self.decode::<RecordedOwner>(stored) else {
            return SubmitOutcome::Unknown;
        };
        let is_same = stored.queue == job.queue && stored.organisation == job.organisation;
        if is_same {
            SubmitOutcome::AlreadyAccepted
        } else {
            SubmitOutcome::NameTaken
        }
    }
}

/// Builds the transaction that writes the job and the key that marks it as waiting, if the job does not exist and is not
/// archived, was not cancelled before and its queue is not closed.
fn submission(job: &Job, guarantee: u32) -> Result<Transaction, IntakeError> {
    let key = keys::job(&job.id);
    let value = serde_json::to_vec(job).map_err(|err| {
        error!(%key, %err, "submit: the job cannot be encoded");
        IntakeError::Codec {
            key: key.clone(),
            reason: err.to_string(),
        }
    })?;
    let mut expect = vec![
        (key.clone(), StoreRevision(0)),
        (keys::ended(&job.id), StoreRevision(0)),
        (withdrawn(job), StoreRevision(0)),
    ];
    if !is_never_refused(job, guarantee) {
        expect.push((closed_queue(job), StoreRevision(0)));
    }
    Ok(Transaction {
        expect,
        writes: vec![
            (key, value, None),
            (keys::waiting(&job.queue, &job.id), Vec::new(), None),
        ],
        removes: Vec::new(),
    })
}

fn closed_queue(job: &Job) -> String {
    keys::closed_queue(&job.queue, &job.organisation)
}

fn withdrawn(job: &Job) -> String {
    keys::withdrawn(&job.queue, &job.organisation, &job.id)
}
