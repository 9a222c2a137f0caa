use super::{
    committer::{CommitError, Committer, DeposedError},
    event::Event,
    silent_gate::SilentGate,
    silent_record::{InheritedTimes, SilentRecord, SilentTimes, encode_silent_workers},
};
use crate::{
    clock::Clock,
    dated::{RevisionAge, RevisionTimes},
    keys,
    metrics::record_rejected_record,
    ports::{KeyValueStore, StoreRevision, Transaction},
    term::ExtendingTerm,
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
    times: RevisionTimes,
    /// What workers that no record names have from former terms.
    inherited: Option<InheritedTimes>,
    /// Whether the next write also records that this term may extend leases.
    announces_term: bool,
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
            times: times.clone(),
            inherited: None,
            announces_term: false,
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

    /// Writes each record that `wanted` gives, until the term has ended. With the first one, the term is recorded as one that may extend
    /// leases, and the gate is opened.
    pub async fn run(
        mut self,
        inherited: InheritedTimes,
        mut wanted: mpsc::UnboundedReceiver<Vec<SilentWorker>>,
    ) {
        self.inherited = Some(inherited);
        self.announces_term = true;
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
                    self.note_written(workers, &next, revision.unwrap_or(self.revision));
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

    /// Returns the times to write for a worker: those that the record has, as far as its deadlines are still the same.
    fn times_of(&self, silent: &SilentWorker, now: BootTime) -> SilentTimes {
        let times = SilentTimes::new(silent, now);
        match (self.stored.get(&silent.worker), &self.inherited) {
            (Some((stored, times)), _) if stored == silent => *times,
            (Some(stored), _) => times.counted_as_stored(silent, stored),
            // Later rows may hide leases that this term has extended.
            (None, Some(inherited)) if self.announces_term => {
                times.counted_from_term(silent, inherited)
            }
            (None, _) => times,
        }
    }

    fn transaction(&self, workers: &BTreeMap<WorkerKey, SilentTimes>) -> Transaction {
        let mut transaction = self.committer.new_transaction();
        if self.announces_term {
            let record = ExtendingTerm::acting(&self.committer.term, self.ages(workers)).encode();
            let key = keys::EXTENDING_TERM.to_owned();
            transaction.writes.push((key, record, None));
            if self.is_stored(workers) {
                return transaction;
            }
        }
        let key = keys::SILENT_WORKERS.to_owned();
        let value = encode_silent_workers(workers).unwrap_or_else(|err| {
            error!(%err, "lead: the record of silent workers cannot be encoded");
            Vec::new()
        });
        transaction.expect.push((key.clone(), self.revision));
        transaction.writes.push((key, value, None));
        transaction
    }

    /// Returns how long the revisions that deadlines of former terms count from had been reached before this term began.
    fn ages(&self, workers: &BTreeMap<WorkerKey, SilentTimes>) -> Vec<RevisionAge> {
        let revisions = workers.values().flat_map(SilentTimes::revisions);
        let revisions = revisions
            .chain([self.committer.term.predecessors_ended_by])
            .collect();
        self.times
            .ages(&revisions, self.committer.term.requested_at)
    }

    /// Whether the stored record has these times.
    fn is_stored(&self, workers: &BTreeMap<WorkerKey, SilentTimes>) -> bool {
        let stored = self.stored.iter();
        let stored = stored.map(|(worker, (_, times))| (worker, times));
        stored.eq(workers)
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
        if std::mem::take(&mut self.announces_term) {
            self.gate.open();
            info!(epoch = %self.committer.term.epoch, silent = self.stored.len(), "lead: recorded as the term that extends leases");
        }
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
