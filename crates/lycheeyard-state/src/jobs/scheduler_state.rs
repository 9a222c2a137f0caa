use crate::{
    StateError,
    error::{decode, encode},
};
use lycheeyard_clients::{CallClass, Store, WriteOutcome};
use lycheeyard_protocol::{DataCentreId, platform::Expectation};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

/// Stores the observations of a data centre's scheduler under one key that is rarely written.
///
/// A lost write costs little: only the observations since the previous write are lost, and the scheduler makes
/// new ones.
#[derive(Clone, Debug)]
pub struct SchedulerStateStore<S> {
    store: S,
    key: String,
}

/// A scheduler's state and the version that the next write must name.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoredSchedulerState<T> {
    /// The state.
    pub state: T,
    /// The version of the key; `None` if the key does not exist.
    pub version: Option<u64>,
}

impl<S: Store> SchedulerStateStore<S> {
    /// Creates the store for the scheduler state of a data centre.
    #[must_use]
    pub fn new(store: S, data_centre: &DataCentreId) -> Self {
        Self {
            store,
            key: format!("scheduler-books/{data_centre}"),
        }
    }

    /// Reads the state; returns the default state if none was written.
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

    /// Replaces the given version of the state and returns the new version. Returns `None` if another writer was
    /// faster or the outcome is unknown; the caller must then load the state again.
    ///
    /// # Errors
    /// Fails when the store is unreachable.
    pub async fn save<T: Serialize>(
        &self,
        state: &T,
        version: Option<u64>,
        deadline: Instant,
    ) -> Result<Option<u64>, StateError> {
        let value = encode(&self.key, state)?;
        let expect = version.map_or(Expectation::Absent, Expectation::Version);
        let key = self.key.clone();
        let written = self.store.put(CallClass::Job, key, value, expect, deadline);
        match written.await? {
            WriteOutcome::Applied(version) => Ok(Some(version)),
            WriteOutcome::Conflict(_) | WriteOutcome::Unknown => Ok(None),
        }
    }
}
