use super::IntakeError;
use crate::ports::Item;
use serde::de::DeserializeOwned;

/// Accepts submissions and cancellations of jobs and answers queries about them. Works on every instance, since
/// all state is in the store.
#[derive(Clone, Debug)]
pub struct JobIntake<S> {
    pub(super) store: S,
}

impl<S> JobIntake<S> {
    /// Creates an intake over a store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self { store }
    }
}

/// Decodes a record that this system wrote.
pub(super) fn read_record<T: DeserializeOwned>(item: &Item) -> Result<T, IntakeError> {
    serde_json::from_slice(&item.value).map_err(|err| IntakeError::Codec {
        key: item.key.clone(),
        reason: err.to_string(),
    })
}
