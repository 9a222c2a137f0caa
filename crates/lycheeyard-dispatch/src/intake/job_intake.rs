use super::{IntakeError, retry_budget::RetryBudget};
use crate::ports::Item;
use serde::de::DeserializeOwned;

/// Accepts submissions and cancellations of jobs and answers queries about them. Works on every instance, since
/// all state is in the store.
#[derive(Clone, Debug)]
pub struct JobIntake<S> {
    pub(super) store: S,
    pub(super) read_retries: RetryBudget,
    pub(super) write_retries: RetryBudget,
}

impl<S> JobIntake<S> {
    /// Creates an intake over a store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self {
            store,
            read_retries: RetryBudget::default(),
            write_retries: RetryBudget::default(),
        }
    }
}

/// Decodes a record that this system wrote.
pub(super) fn read_record<T: DeserializeOwned>(item: &Item) -> Result<T, IntakeError> {
    serde_json::from_slice(&item.value).map_err(|err| IntakeError::Codec {
        key: item.key.clone(),
        reason: err.to_string(),
    })
}
