use lycheeyard_protocol::{AuditEntry, AuditEvent, DataCentreId, InstanceId, Timestamp};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tracing::{info, warn};

const MAX_WAITING_ENTRIES: usize = 10_000;

/// Collects the audit events of one instance. Each is logged at once and then waits to be written in a batch.
#[derive(Clone, Debug)]
pub struct AuditTrail {
    data_centre: DataCentreId,
    instance: InstanceId,
    waiting: Arc<Mutex<VecDeque<AuditEntry>>>,
}

impl AuditTrail {
    /// Creates the trail of an instance.
    #[must_use]
    pub fn new(data_centre: DataCentreId, instance: InstanceId) -> Self {
        Self {
            data_centre,
            instance,
            waiting: Arc::default(),
        }
    }

    /// Records an event. When 10,000 entries wait, the oldest is dropped; the process log still has it.
    pub fn record(&self, event: AuditEvent) {
        let entry = AuditEntry {
            at: Timestamp::now(),
            data_centre: self.data_centre.clone(),
            instance: self.instance.clone(),
            event,
        };
        match serde_json::to_string(&entry) {
            Ok(text) => info!("audit: {text}"),
            Err(err) => warn!("audit: failed to encode an entry for the log: {err}"),
        }
        let mut waiting = self.lock();
        if waiting.len() == MAX_WAITING_ENTRIES {
            waiting.pop_front();
        }
        waiting.push_back(entry);
    }

    /// Removes and returns the waiting entries, oldest first, at most `limit`.
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
