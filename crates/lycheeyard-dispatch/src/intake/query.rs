use super::{IntakeError, JobIntake, StateOutcome, job_intake::read_record};
use crate::{keys, ports::KeyValueStore};
use lycheeyard_jobs::{EndedJob, Job};
use lycheeyard_protocol::{JobId, JobState, QueueId};
use serde::Deserialize;
use tokio::time::Instant;

/// The part of a progress record that a query needs.
#[derive(Debug, Deserialize)]
struct ProgressState {
    state: JobState,
}

impl<S: KeyValueStore> JobIntake<S> {
    /// Reads the state of a job.
    ///
    /// A job that is archived meanwhile is found, since its archive record is read last and replaces all others at once.
    ///
    /// # Errors
    /// Returns an error if the store cannot be read or a record cannot be decoded.
    pub async fn state(
        &self,
        queue: &QueueId,
        id: &JobId,
        deadline: Instant,
    ) -> Result<StateOutcome, IntakeError> {
        if let Some(item) = self.read(&keys::progress(id), deadline).await? {
            let progress: ProgressState = read_record(&item)?;
            return Ok(StateOutcome::Known(progress.state));
        }
        if let Some(item) = self.read(&keys::job(id), deadline).await? {
            let job: Job = read_record(&item)?;
            return Ok(if job.queue == *queue {
                StateOutcome::Known(JobState::Queued)
            } else {
                StateOutcome::NoSuchJob
            });
        }
        let Some(item) = self.read(&keys::ended(id), deadline).await? else {
            return Ok(StateOutcome::NoSuchJob);
        };
        let ended: EndedJob = read_record(&item)?;
        Ok(StateOutcome::Known(ended.state))
    }

    /// Counts the accepted jobs of a queue that have not started.
    ///
    /// # Errors
    /// Returns an error if the store cannot be read.
    pub async fn count_waiting(
        &self,
        queue: &QueueId,
        deadline: Instant,
    ) -> Result<usize, IntakeError> {
        let prefix = keys::waiting_prefix(queue);
        let mut count = 0;
        let mut after: Option<String> = None;
        loop {
            let page = self.read_page(&prefix, after.as_deref(), deadline).await?;
            count += page.items.len();
            after = page.items.last().map(|item| item.key.clone());
            if !page.has_more || after.is_none() {
                return Ok(count);
            }
        }
    }
}
