use super::JobScheduler;
use crate::{SilentWorker, WorkerKey};
use std::collections::BTreeMap;

/// The stored record of silent workers, as this instance knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilentRecord {
    /// The workers that the record may name: it did when the term began, or a write that names them is under way or durable.
    named: BTreeMap<WorkerKey, SilentWorker>,
}

impl JobScheduler {
    /// Restores the record of silent workers. Called before jobs are added.
    pub fn restore_silent_workers(&mut self, workers: Vec<SilentWorker>) {
        let named = workers.into_iter();
        self.silent_record.named = named
            .map(|silent| (silent.worker.clone(), silent))
            .collect();
    }

    /// Returns the workers that the record is to name, if these have changed since the last call and no write of them is under way.
    pub fn take_silent_workers(&mut self) -> Option<Vec<SilentWorker>> {
        None
    }

    /// Notes that the record that was taken last is durable.
    pub fn silent_workers_written(&mut self) {}
}
