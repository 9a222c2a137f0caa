use super::{
    IntakeError, JobIntake, StateOutcome,
    records::{RecordedQueue, RecordedState},
};
use crate::{keys, ports::KeyValueStore};
use lycheeyard_protocol::{JobId, JobState, QueueId};
use std::{pin::pin, time::Duration};
use tokio::{
    select,
    time::{Instant, timeout_at},
};

/// How long a query waits for the cheap read, which finds a job only if it has ended, before it makes exact reads as well.
const HEAD_START: Duration = Duration::from_millis(100);

/// What the records of a job that is not archived tell of it.
enum Current {
    /// The answer to the query.
    Answer(StateOutcome),
    /// There is a record, but it cannot be decoded; the archive may have the job.
    Unreadable(IntakeError),
    /// There is no record; the archive may have the job.
    Absent,
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
        let current = self.current_state(queue, id, deadline).await?;
        if let Current::Answer(answer) = current {
            return Ok(answer);
        }
        if let Some(item) = self.read(&keys::ended(id), deadline).await? {
            let ended: RecordedState = self.decode(&item)?;
            return Ok(StateOutcome::Known(ended.state));
        }
        match current {
            Current::Unreadable(err) => Err(err),
            Current::Answer(_) | Current::Absent => Ok(StateOutcome::NoSuchJob),
        }
    }

    /// Reads the records of a job that is not archived.
    async fn current_state(
        &self,
        queue: &QueueId,
        id: &JobId,
        deadline: Instant,
    ) -> Result<Current, IntakeError> {
        if let Some(item) = self.read(&keys::progress(id), deadline).await? {
            let progress = self.decode::<RecordedState>(&item);
            return Ok(match progress {
                Ok(progress) => Current::Answer(StateOutcome::Known(progress.state)),
                Err(err) => Current::Unreadable(err),
            });
        }
        let Some(item) = self.read(&keys::job(id), deadline).await? else {
            return Ok(Current::Absent);
        };
        let err = match self.decode::<RecordedQueue>(&item) {
            Ok(job) if job.queue == *queue => {
                return Ok(Current::Answer(StateOutcome::Known(JobState::Queued)));
            }
            Ok(_) => return Ok(Current::Answer(StateOutcome::NoSuchJob)),
            Err(err) => err,
        };
        // This key alone tells that the job is of the queue and has not begun.
        let waiting = self.read(&keys::waiting(queue, id), deadline).await?;
        Ok(match waiting {
            Some(_) => Current::Answer(StateOutcome::Known(JobState::Queued)),
            None => Current::Unreadable(err),
        })
    }

    /// Returns the final state of a job that was archived some seconds ago, if a read shows it. A failure shows nothing.
    async fn archived_state(&self, id: &JobId, deadline: Instant) -> Option<JobState> {
        let key = keys::ended(id);
        let read = self.store.get_stale(&key, deadline);
        let item = timeout_at(deadline, read).await.ok()?.ok()??;
        let ended: RecordedState = self.decode(&item).ok()?;
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
