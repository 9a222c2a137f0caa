use super::{
    IntakeError, JobIntake, SubmitOutcome,
    job_intake::{FIRST_PAUSE, MAX_PAUSE, TRY_TIMEOUT, read_record},
};
use crate::{
    keys,
    ports::{Commit, Item, KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_jobs::Job;
use tokio::time::{Instant, sleep};

impl<S: KeyValueStore> JobIntake<S> {
    /// Stores a job, unless one of its name is stored.
    ///
    /// # Errors
    /// Fails when the job certainly is not stored and will not be.
    pub async fn submit(&self, job: &Job, deadline: Instant) -> Result<SubmitOutcome, IntakeError> {
        let transaction = submission(job)?;
        let mut pause = FIRST_PAUSE;
        let mut unclear = false;
        loop {
            let until = deadline.min(Instant::now() + TRY_TIMEOUT);
            let problem = match self.store.commit(&transaction, until).await {
                Ok(Commit::Done(_)) => return Ok(SubmitOutcome::Accepted),
                Ok(Commit::Conflict(items)) => return compare(job, &items),
                Ok(Commit::Unknown | Commit::NoLease) => {
                    unclear = true;
                    None
                }
                Err(err) => Some(err),
            };
            if Instant::now() + pause >= deadline {
                return match problem {
                    Some(err) if !unclear => Err(err.into()),
                    _ => Ok(SubmitOutcome::Unknown),
                };
            }
            sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            pause = MAX_PAUSE.min(pause * 2);
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
