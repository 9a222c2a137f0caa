use super::{
    IntakeError, JobIntake,
    retries::{Retries, RetryDecision},
};
use crate::ports::{Item, KeyValueStore, KvError, Page};
use std::future::Future;
use tokio::time::{Instant, timeout_at};

impl<S: KeyValueStore> JobIntake<S> {
    /// Reads one key, with a few retries. Returns by `deadline`.
    ///
    /// # Errors
    /// Returns an error if there is no whole answer.
    pub(super) async fn read(
        &self,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<Item>, IntakeError> {
        let mut retries = Retries::until(deadline, &self.read_retries);
        loop {
            let err = match self.read_once(key, &retries).await {
                Ok(item) => return Ok(item),
                Err(err) => err,
            };
            if retries.record_failure(&err).await == RetryDecision::GiveUp {
                return Err(IntakeError::at(key)(err));
            }
        }
    }

    /// Reads a page of keys, with a few retries. Returns by `deadline`.
    ///
    /// # Errors
    /// Returns an error if there is no whole answer.
    pub(super) async fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        deadline: Instant,
    ) -> Result<Page, IntakeError> {
        let mut retries = Retries::until(deadline, &self.read_retries);
        loop {
            let page = self.store.range(prefix, after, retries.next_deadline());
            let err = match whole_by(deadline, page).await {
                Ok(page) => return Ok(page),
                Err(err) => err,
            };
            if retries.record_failure(&err).await == RetryDecision::GiveUp {
                return Err(IntakeError::at(prefix)(err));
            }
        }
    }

    /// Reads one key with one attempt.
    ///
    /// # Errors
    /// Returns an error if there is no whole answer.
    pub(super) async fn read_once(
        &self,
        key: &str,
        retries: &Retries,
    ) -> Result<Option<Item>, KvError> {
        let read = self.store.get(key, retries.next_deadline());
        let response = whole_by(retries.deadline(), read).await?;
        Ok(response.item)
    }
}

/// Waits for an answer that may take longer than its call as long as it keeps arriving, but not beyond `deadline`.
async fn whole_by<T>(
    deadline: Instant,
    answer: impl Future<Output = Result<T, KvError>>,
) -> Result<T, KvError> {
    let answer = timeout_at(deadline, answer).await;
    answer.unwrap_or(Err(KvError::Late))
}
