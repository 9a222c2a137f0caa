use crate::{
    StateError,
    error::{decode, encode},
};
use lycheeyard_clients::{CallClass, Store, WriteOutcome};
use lycheeyard_protocol::{DataCentreId, platform::Expectation};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

/// Keeps what the scheduler of a data centre has learnt, under one key that is rarely written.
///
/// A lost write costs little: what was learnt since the last one is learnt again.
#[derive(Clone, Debug)]
pub struct SchedulerStateStore<S> {
    store: S,
    key: String,
}

/// A book with the version that the next write must name.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoredSchedulerState<T> {
    /// The content.
    pub state: T,
    /// The version of the key, if it exists.
    pub version: Option<u64>,
}

impl<S: Store> SchedulerStateStore<S> {
    /// Makes the book store of a data centre.
    #[must_use]
    pub fn new(store: S, data_centre: &DataCentreId) -> Self {
        Self {
            store,
            key: format!("scheduler-books/{data_centre}"),
        }
    }

    /// Reads the book; there is an empty one where none was written.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn load<T: DeserializeOwned + Default>(
        &self,
        deadline: Instant,
    ) -> Result<StoredSchedulerState<T>, StateError> {
        let read = self.store.get(CallClass::Job, &self.key, deadline);
        let Some(entry) = read.await? else {
            return Ok(StoredSchedulerState::default());
        };
        Ok(StoredSchedulerState {
            state: decode(&self.key, &entry.value)?,
            version: Some(entry.version),
        })
    }

    /// Writes the book over the given version and gives the new one, or none where another writer was
    /// first or the outcome is unknown; the book is then loaded again.
    ///
    /// # Errors
    /// Fails when the store is out of reach.
    pub async fn save<T: Serialize>(
        &self,
        book: &T,
        version: Option<u64>,
        deadline: Instant,
    ) -> Result<Option<u64>, StateError> {
        let value = encode(&self.key, book)?;
        let expect = version.map_or(Expectation::Absent, Expectation::Version);
        let key = self.key.clone();
        let written = self.store.put(CallClass::Job, key, value, expect, deadline);
        match written.await? {
            WriteOutcome::Applied(version) => Ok(Some(version)),
            WriteOutcome::Conflict(_) | WriteOutcome::Unknown => Ok(None),
        }
    }
}
