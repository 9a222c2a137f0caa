use super::{
    committer::{CommitError, Committer, DeposedError},
    event::Event,
    silent_gate::SilentGate,
    silent_record::{SilentRecord, SilentTimes, encode_silent_workers},
};
use crate::{
    clock::Clock,
    dated::RevisionTimes,
    keys,
    metrics::record_rejected_record,
    ports::{KeyValueStore, StoreRevision, Transaction},
};
use lycheeyard_jobs::{BootTime, SilentWorker, WorkerKey};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::{sync::mpsc, time::sleep};
use tracing::{error, info};

/// The maximum number of workers in the record. For one that is left out a successor waits as for any other worker.
const MAX_WORKERS: usize = 500;
/// The pause after the store has rejected a record that names nobody.
const REJECTED_PAUSE: Duration = Duration::from_secs(1);

/// Writes the record of silent workers, one transaction after the other, until the term ends.
///
/// Each expects the revision that the one before wrote, so that a late copy cannot bring back a record whose workers are called again.
/// Deadlines that do not change are written as they were first, so that they count from the same revision in each term.
pub(super) struct SilentWriter<S, C> {
    committer: Committer<S>,
    clock: C,
    gate: SilentGate,
    /// What the record says, with the deadlines on this instance's clock.
    stored: BTreeMap<WorkerKey, (SilentWorker, SilentTimes)>,
    /// The revision of the record; 0 if there is none.
    revision: StoreRevision,
}

impl<S: KeyValueStore, C: Clock> SilentWriter<S, C> {
    /// Takes the record over from the term before, and closes the gate for the workers in it.
    pub fn new(
        committer: Committer<S>,
        clock: C,
        gate: SilentGate,
        record: &SilentRecord,
        times: &RevisionTimes,
    ) -> Self {
        let now = clock.boot();
        let stored = record.workers.iter();
        let stored: BTreeMap<_, _> = stored
            .map(|(key, stored)| (key.clone(), (stored.to_local(key, times, now), *stored)))
            .collect();
        let writer = Self {
            committer,
            clock,
            gate,
            stored,
            revision: record.revision,
        };
        writer.gate.close(writer.workers());
        info!(workers = writer.stored.len(), revision = %writer.revision, "lead: silent workers restored");
        writer
    }

    /// Returns the workers that the record names.
    pub fn workers(&self) -> Vec<SilentWorker> {
        let stored = self.stored.values();
        stored.map(|(silent, _)| silent.clone()).collect()
    }

    /// Writes each record that `wanted` gives, until the term has ended.
    pub async fn run(mut self, mut wanted: mpsc::UnboundedReceiver<Vec<SilentWorker>>) {
        while let Some(workers) = wanted.recv().await {
            let event = match self.write(workers).await {
                Ok(()) => Event::SilentWorkersWritten,
                Err(DeposedError) => Event::Deposed,
            };
            let has_ended = matches!(event, Event::Deposed);
            if self.committer.events.send(event).is_err() || has_ended {
                return;
            }
        }
    }

    /// Writes the record, until it is durable. Leaves out workers if the store will never take them all.
    pub async fn write(&mut self, workers: Vec<SilentWorker>) -> Result<(), DeposedError> {
        let mut workers = workers;
        workers.sort_by_key(|silent| Reverse(silent.leases_until.max(silent.copies_until)));
        workers.truncate(MAX_WORKERS);
        loop {
            let now = self.clock.boot();
            let next: BTreeMap<WorkerKey, SilentTimes> = workers
                .iter()
                .map(|silent| (silent.worker.clone(), self.times_of(silent, now)))
                .collect();
            match self.committer.commit(self.transaction(&next)).await {
                Ok(revisions) => {
                    let revision = revisions.get(keys::SILENT_WORKERS).copied();
                    self.note_written(workers, &next, revision.unwrap_or_default());
                    return Ok(());
                }
                Err(CommitError::Deposed) => return Err(DeposedError),
                Err(CommitError::Rejected(rejection)) => {
                    error!(workers = workers.len(), %rejection, "lead: the record of silent workers is not written, the store will never take it");
                    record_rejected_record("silent-workers");
                    if workers.is_empty() {
                        sleep(REJECTED_PAUSE).await;
                    }
                    workers.truncate(workers.len() / 2);
                }
            }
        }
    }

    /// Returns the times to write for a worker: those that the record has if its deadlines are still the same.
    fn times_of(&self, silent: &SilentWorker, now: BootTime) -> SilentTimes {
        match self.stored.get(&silent.worker) {
            Some((stored, times)) if stored == silent => *times,
            _ => SilentTimes::new(silent, now),
        }
    }

    fn transaction(&self, workers: &BTreeMap<WorkerKey, SilentTimes>) -> Transaction {
        let key = keys::SILENT_WORKERS.to_owned();
        let value = encode_silent_workers(workers).unwrap_or_else(|err| {
            error!(%err, "lead: the record of silent workers cannot be encoded");
            Vec::new()
        });
        let mut transaction = self.committer.new_transaction();
        transaction.expect.push((key.clone(), self.revision));
        transaction.writes.push((key, value, None));
        transaction
    }

    fn note_written(
        &mut self,
        workers: Vec<SilentWorker>,
        written: &BTreeMap<WorkerKey, SilentTimes>,
        revision: StoreRevision,
    ) {
        let stored = workers.into_iter().filter_map(|silent| {
            let times = written.get(&silent.worker)?.counted_from(revision);
            Some((silent.worker.clone(), (silent, times)))
        });
        let stored = stored.collect();
        let former = std::mem::replace(&mut self.stored, stored);
        self.revision = revision;
        self.log_changes(&former);
        let named: BTreeSet<WorkerKey> = self.stored.keys().cloned().collect();
        self.gate.open_for_others(named);
    }

    fn log_changes(&self, former: &BTreeMap<WorkerKey, (SilentWorker, SilentTimes)>) {
        let now = self.clock.boot();
        for (key, (silent, _)) in &self.stored {
            if former.get(key).is_none_or(|(former, _)| former != silent) {
                let leases_ms = silent.leases_until.since(now).as_millis();
                let copies_ms = silent.copies_until.since(now).as_millis();
                info!(worker = %key.id, incarnation = %key.incarnation, leases_ms, copies_ms, "worker: recorded as silent, no lease is extended there");
            }
        }
        for key in former.keys().filter(|key| !self.stored.contains_key(*key)) {
            info!(worker = %key.id, incarnation = %key.incarnation, "worker: no longer recorded as silent");
        }
    }
}
