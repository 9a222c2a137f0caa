use super::{IntakeError, JobIntake, StateOutcome, job_intake::read_record};
use crate::{keys, ports::KeyValueStore};
use lycheeyard_jobs::Job;
use lycheeyard_protocol::{JobId, JobState, QueueId};
use serde::Deserialize;
use std::{pin::pin, time::Duration};
use tokio::{
    select,
    time::{Instant, timeout_at},
};

/// How long a query waits for the cheap read, which finds a job only if it has ended, before it makes exact reads as well.
const HEAD_START: Duration = Duration::from_millis(100);

/// The part of the record of a job that has begun or ended that a query needs.
#[derive(Debug, Deserialize)]
struct RecordedState {
    state: JobState,
}

impl<S: KeyValueStore> JobIntake<S> {
    /// Reads the state of a job. Returns by `deadline`.
    ///
    /// The archive is read first as it was some seconds ago, which is cheap: the record of an ended job never changes. What it does
    /// not have is read exactly. A job that is archived meanwhile is found, since its archive record is read last and replaces all
    /// others at once.
    ///
    /// # Errors
    /// Returns an error if the store cannot be read or a record cannot be decoded.
    pub async fn state(
        &self,
        queue: &QueueId,
        id: &JobId,
        deadline: Instant,
    ) -> Result<StateOutcome, IntakeError> {
        let mut archived = pin!(self.archived_state(id, deadline));
        let head_start = deadline.min(Instant::now() + HEAD_START);
        match timeout_at(head_start, &mut archived).await {
            Ok(Some(state)) => Ok(StateOutcome::Known(state)),
            Ok(None) => self.exact_state(queue, id, deadline).await,
            Err(_) => select! {
                biased;
                Some(state) = archived => Ok(StateOutcome::Known(state)),
                exact = self.exact_state(queue, id, deadline) => exact,
            },
        }
    }

    async fn exact_state(
        &self,
        queue: &QueueId,
        id: &JobId,
        deadline: Instant,
    ) -> Result<StateOutcome, IntakeError> {
        if let Some(item) = self.read(&keys::progress(id), deadline).await? {
            let progress: RecordedState = read_record(&item)?;
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
        let ended: RecordedState = read_record(&item)?;
        Ok(StateOutcome::Known(ended.state))
    }

    /// Returns the final state of a job that was archived some seconds ago, if a read shows it. A failure shows nothing.
    async fn archived_state(&self, id: &JobId, deadline: Instant) -> Option<JobState> {
        let key = keys::ended(id);
        let read = self.store.get_stale(&key, deadline);
        let item = timeout_at(deadline, read).await.ok()?.ok()??;
        let ended: RecordedState = read_record(&item).ok()?;
        Some(ended.state)
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
