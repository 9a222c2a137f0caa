use super::IntakeError;
use crate::ports::Item;
use serde::de::DeserializeOwned;

/// Takes jobs in and answers what became of them, on any instance.
#[derive(Clone, Debug)]
pub struct JobIntake<S> {
    pub(super) store: S,
}

impl<S> JobIntake<S> {
    /// Makes an intake over a store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self { store }
    }
}

/// Reads a record of the product's own.
pub(super) fn read_record<T: DeserializeOwned>(item: &Item) -> Result<T, IntakeError> {
    serde_json::from_slice(&item.value).map_err(|err| IntakeError::Record {
        key: item.key.clone(),
        reason: err.to_string(),
    })
}
