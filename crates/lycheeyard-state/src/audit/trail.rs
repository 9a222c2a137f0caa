use lycheeyard_protocol::{AuditEntry, AuditEvent, DataCentreId, InstanceId, Timestamp};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tracing::info;

const MAX_WAITING: usize = 10_000;

/// Takes audit events of one instance; they are logged at once and wait to be written in batches.
#[derive(Clone, Debug)]
pub struct AuditTrail {
    data_centre: DataCentreId,
    instance: InstanceId,
    waiting: Arc<Mutex<VecDeque<AuditEntry>>>,
}

impl AuditTrail {
    /// Makes the trail of an instance.
    #[must_use]
    pub fn new(data_centre: DataCentreId, instance: InstanceId) -> Self {
        Self {
            data_centre,
            instance,
            waiting: Arc::default(),
        }
    }

    /// Records an event. When too many wait, the oldest is dropped; the log still has it.
    pub fn record(&self, event: AuditEvent) {
        let entry = AuditEntry {
            at: Timestamp::now(),
            data_centre: self.data_centre.clone(),
            instance: self.instance.clone(),
            event,
        };
        info!(
            "audit: {}",
            serde_json::to_string(&entry).unwrap_or_default()
        );
        let mut waiting = self.lock();
        if waiting.len() == MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back(entry);
    }

    /// Takes out the entries that wait, oldest first, at most `limit`.
    #[must_use]
    pub fn take(&self, limit: usize) -> Vec<AuditEntry> {
        let mut waiting = self.lock();
        let count = limit.min(waiting.len());
        waiting.drain(..count).collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<AuditEntry>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
