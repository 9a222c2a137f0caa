use super::{IntakeError, JobIntake};
use crate::ports::Item;
use lycheeyard_protocol::{JobState, OrganisationId, QueueId};
use serde::{Deserialize, de::DeserializeOwned};
use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
};
use tracing::error;

/// Beyond this number of records that cannot be decoded, no more are logged.
const MAX_LOGGED: usize = 1000;

/// The part of the record of a job that has begun or ended that callers ask for.
#[derive(Debug, Deserialize)]
pub(super) struct RecordedState {
    pub state: JobState,
}

/// The part of a submission or an archive record that tells whose the job is.
#[derive(Debug, Deserialize)]
pub(super) struct RecordedOwner {
    pub queue: QueueId,
    pub organisation: OrganisationId,
}

/// The part of a submission that tells which queue the job is in.
#[derive(Debug, Deserialize)]
pub(super) struct RecordedQueue {
    pub queue: QueueId,
}

/// The keys of records that cannot be decoded and have been logged.
#[derive(Debug, Default)]
pub(super) struct UnreadableRecords {
    keys: Mutex<BTreeSet<String>>,
}

impl UnreadableRecords {
    /// Returns whether the record is to be logged: only when it is found for the first time.
    fn is_first(&self, key: &str) -> bool {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        keys.len() < MAX_LOGGED && keys.insert(key.to_owned())
    }
}

impl<S> JobIntake<S> {
    /// Decodes a record that this system wrote. Logs a record that cannot be decoded when it is found for the first time.
    ///
    /// # Errors
    /// Returns an error if the record cannot be decoded.
    pub(super) fn decode<T: DeserializeOwned>(&self, item: &Item) -> Result<T, IntakeError> {
        serde_json::from_slice(&item.value).map_err(|err| {
            let key = &item.key;
            if self.unreadable.is_first(key) {
                error!(%key, %err, "intake: a record cannot be decoded");
            }
            IntakeError::Codec {
                key: key.clone(),
                reason: err.to_string(),
            }
        })
    }
}
