use super::{
    IntakeError, JobIntake, StateOutcome,
    job_intake::{FIRST_PAUSE, TRY_TIMEOUT, read_record},
};
use crate::{
    keys,
    ports::{Item, KeyValueStore, KvError, Page},
};
use lycheeyard_jobs::Job;
use lycheeyard_protocol::{JobId, JobState, QueueId};
use serde::Deserialize;
use tokio::time::{Instant, sleep};

/// The part of a job's progress that callers ask for.
#[derive(Debug, Deserialize)]
struct ProgressState {
    state: JobState,
}

impl<S: KeyValueStore> JobIntake<S> {
    /// Reads a job's state.
    ///
    /// # Errors
    /// Fails when the store cannot be read.
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
        let Some(item) = self.read(&keys::job(id), deadline).await? else {
            return Ok(StateOutcome::NoSuchJob);
        };
        let job: Job = read_record(&item)?;
        Ok(if job.queue == *queue {
            StateOutcome::Known(JobState::Queued)
        } else {
            StateOutcome::NoSuchJob
        })
    }

    /// Counts the accepted jobs of a queue that have not begun.
    ///
    /// # Errors
    /// Fails when the store cannot be read.
    pub async fn count_waiting(
        &self,
        queue: &QueueId,
        deadline: Instant,
    ) -> Result<usize, IntakeError> {
        let prefix = keys::waiting_in(queue);
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

    async fn read(&self, key: &str, deadline: Instant) -> Result<Option<Item>, KvError> {
        loop {
            let until = deadline.min(Instant::now() + TRY_TIMEOUT);
            let answer = self.store.get(key, until).await;
            if answer.is_ok() || Instant::now() + FIRST_PAUSE >= deadline {
                return answer.map(|reading| reading.item);
            }
            sleep(FIRST_PAUSE).await;
        }
    }

    async fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        deadline: Instant,
    ) -> Result<Page, KvError> {
        loop {
            let until = deadline.min(Instant::now() + TRY_TIMEOUT);
            let answer = self.store.range(prefix, after, until).await;
            if answer.is_ok() || Instant::now() + FIRST_PAUSE >= deadline {
                return answer;
            }
            sleep(FIRST_PAUSE).await;
        }
    }
}
