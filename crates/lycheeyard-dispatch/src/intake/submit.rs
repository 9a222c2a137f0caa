use super::{
    IntakeError, JobIntake, SubmitOutcome,
    job_intake::read_record,
    tries::{Next, Tries},
};
use crate::{
    keys,
    ports::{CommitOutcome, Item, KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_jobs::Job;
use tokio::time::Instant;

impl<S: KeyValueStore> JobIntake<S> {
    /// Stores a job, unless one of its name is stored.
    ///
    /// # Errors
    /// Fails when the job certainly is not stored and will not be.
    pub async fn submit(&self, job: &Job, deadline: Instant) -> Result<SubmitOutcome, IntakeError> {
        let transaction = submission(job)?;
        let mut tries = Tries::until(deadline);
        loop {
            let answer = self.store.commit(&transaction, tries.next_deadline()).await;
            let (next, problem) = match answer {
                Ok(CommitOutcome::Done(_)) => return Ok(SubmitOutcome::Accepted),
                Ok(CommitOutcome::Conflict(items)) => return compare(job, &items),
                Ok(CommitOutcome::Unknown | CommitOutcome::NoLease) => {
                    (tries.unanswered().await, None)
                }
                Err(err) => (tries.failed(&err).await, Some(err)),
            };
            if next == Next::TryAgain {
                continue;
            }
            return match problem {
                Some(err) if !tries.is_unclear() => Err(err.into()),
                _ => Ok(SubmitOutcome::Unknown),
            };
        }
    }
}

/// Writes the job and the mark that it waits, if neither is there.
fn submission(job: &Job) -> Result<Transaction, IntakeError> {
    let key = keys::job(&job.id);
    let value = serde_json::to_vec(job).map_err(|err| IntakeError::Record {
        key: key.clone(),
        reason: err.to_string(),
    })?;
    Ok(Transaction {
        expect: vec![(key.clone(), StoreRevision(0))],
        writes: vec![
            (key, value, None),
            (keys::waiting(&job.queue, &job.id), Vec::new(), None),
        ],
        removes: Vec::new(),
    })
}

fn compare(job: &Job, items: &[Item]) -> Result<SubmitOutcome, IntakeError> {
    let key = keys::job(&job.id);
    let Some(item) = items.iter().find(|item| item.key == key) else {
        return Ok(SubmitOutcome::Unknown);
    };
    let stored: Job = read_record(item)?;
    let is_same = stored.queue == job.queue && stored.organisation == job.organisation;
    Ok(if is_same {
        SubmitOutcome::AlreadyAccepted
    } else {
        SubmitOutcome::NameTaken
    })
}
