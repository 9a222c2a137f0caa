use super::{
    committer::{Committer, DeposedError, Revisions},
    event::{Event, EventSender},
    worker_epochs::WorkerEpochs,
    write_group::{Committed, WriteGroup, WrittenRecord, split_by_size},
    write_request::WriteRequest,
};
use crate::{
    keys,
    ports::{KeyValueStore, StoreRevision, Transaction, WaveFormat},
    term::Term,
};
use lycheeyard_jobs::{EndedJob, JobChange, SpeedRecord, WaveChange, WaveNumber};
use lycheeyard_protocol::{Epoch, JobId};
use std::collections::{BTreeMap, BTreeSet};
use tokio::{
    sync::mpsc,
    task::{JoinError, JoinSet},
};
use tracing::{error, info, warn};

/// The maximum number of jobs in a batch, which is one transaction. The store accepts at most 32 entries in it: one for
/// the term, and three for each job.
pub(super) const MAX_BATCH_JOBS: usize = 10;
/// The maximum number of jobs that are archived in one transaction: six entries for each.
pub(super) const MAX_ARCHIVED_JOBS: usize = 5;
/// The maximum number of archived jobs that are removed in one transaction: one entry for each.
const MAX_REMOVALS: usize = 30;
/// The maximum number of requests whose transactions are under way, so that a store that answers slowly does not limit how many
/// records are written.
const MAX_IN_FLIGHT: usize = 4;

/// The records of one term, as the writer knows them.
pub(super) struct RecordRevisions {
    pub jobs: BTreeMap<JobId, StoreRevision>,
    pub waves: BTreeMap<WaveNumber, StoreRevision>,
    pub speeds: StoreRevision,
}

/// Writes the records of one term. Several requests may be under way, but never two that write the same record; requests
/// begin in the order in which they were made.
pub(super) struct Writer<S, F> {
    committer: Committer<S>,
    waves: F,
    revisions: RecordRevisions,
    events: EventSender,
    epochs: WorkerEpochs,
    /// The requests that are under way.
    in_flight: JoinSet<(WriteRequest, Result<Committed, DeposedError>)>,
    /// The jobs and waves whose records the requests under way write.
    busy_jobs: BTreeSet<JobId>,
    busy_waves: BTreeSet<WaveNumber>,
    /// Whether a request under way writes the record of the speeds of workers. Another speed record is then dropped instead of waiting,
    /// since it would delay the records of jobs behind it; the scheduler offers a new one after the next change.
    is_writing_speeds: bool,
    /// The next request, while it waits for one that is under way.
    next: Option<WriteRequest>,
}

/// Whether the writer goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Continue,
    Stop,
}

impl<S: KeyValueStore, F: WaveFormat> Writer<S, F> {
    /// Creates the writer of a term.
    pub fn new(
        store: S,
        waves: F,
        term: Term,
        revisions: RecordRevisions,
        events: EventSender,
        epochs: WorkerEpochs,
    ) -> Self {
        Self {
            committer: Committer {
                store,
                term,
                events: events.clone(),
            },
            waves,
            revisions,
            events,
            epochs,
            in_flight: JoinSet::new(),
            busy_jobs: BTreeSet::new(),
            busy_waves: BTreeSet::new(),
            is_writing_speeds: false,
            next: None,
        }
    }

    /// Serves requests until the term ends.
    pub async fn run(mut self, mut requests: mpsc::UnboundedReceiver<WriteRequest>) {
        loop {
            let takes_request = self.next.is_none() && self.in_flight.len() < MAX_IN_FLIGHT;
            let step = tokio::select! {
                request = requests.recv(), if takes_request => {
                    self.next = request;
                    if self.next.is_some() { Step::Continue } else { Step::Stop }
                }
                Some(finished) = self.in_flight.join_next() => self.complete(finished),
            };
            if step == Step::Stop {
                return;
            }
            self.begin_next();
        }
    }

    /// Begins the next request, unless one that is under way writes the same record.
    fn begin_next(&mut self) {
        let Some(request) = self.next.take() else {
            return;
        };
        let writes_speeds = matches!(request, WriteRequest::Speeds(_));
        if writes_speeds && self.is_writing_speeds {
            return;
        }
        let jobs = request.jobs();
        let waves = request.waves();
        if !self.busy_jobs.is_disjoint(&jobs) || !self.busy_waves.is_disjoint(&waves) {
            self.next = Some(request);
            return;
        }
        self.is_writing_speeds |= writes_speeds;
        self.busy_jobs.extend(jobs);
        self.busy_waves.extend(waves);
        let groups = self.groups(&request);
        let committed = self.committer.clone().commit_all(groups);
        self.in_flight
            .spawn(async move { (request, committed.await) });
    }

    /// Notes that a request is finished, and notifies the scheduling loop.
    fn complete(
        &mut self,
        finished: Result<(WriteRequest, Result<Committed, DeposedError>), JoinError>,
    ) -> Step {
        let event = match finished {
            Ok((mut request, Ok(committed))) => {
                self.note_written(&request, &committed.revisions);
                self.note_epoch(&committed.revisions);
                request.remove_rejected(&committed.rejected);
                if self.report_rejected(&committed.rejected) == Step::Stop {
                    return Step::Stop;
                }
                match request {
                    WriteRequest::Batch(batch) => Event::Written(batch),
                    WriteRequest::Archive(jobs) => Event::Archived(jobs),
                    WriteRequest::Remove(_) | WriteRequest::Speeds(_) => return Step::Continue,
                }
            }
            Ok((_, Err(DeposedError))) => Event::Deposed,
            Err(err) => {
                error!(%err, "lead: a write failed; the term is given up");
                Event::Deposed
            }
        };
        match self.events.send(event) {
            Ok(()) => Step::Continue,
            Err(_) => Step::Stop,
        }
    }

    /// Notifies the scheduling loop of the jobs whose records the store will never take.
    fn report_rejected(&self, rejected: &BTreeSet<WrittenRecord>) -> Step {
        for record in rejected {
            if let WrittenRecord::Job(id) = record
                && self.events.send(Event::RecordRejected(id.clone())).is_err()
            {
                return Step::Stop;
            }
        }
        Step::Continue
    }

    /// Makes the newest of the revisions available as an epoch of calls to workers.
    fn note_epoch(&self, revisions: &Revisions) {
        if let Some(newest) = revisions.values().max() {
            self.epochs.add_revision(Epoch(newest.0));
        }
    }

    fn note_written(&mut self, request: &WriteRequest, revisions: &Revisions) {
        for id in request.jobs() {
            self.busy_jobs.remove(&id);
            if let Some(revision) = revisions.get(&keys::progress(&id)) {
                self.revisions.jobs.insert(id, *revision);
            }
        }
        for number in request.waves() {
            self.busy_waves.remove(&number);
            if let Some(revision) = revisions.get(&keys::maintenance(number)) {
                self.revisions.waves.insert(number, *revision);
            }
        }
        match request {
            WriteRequest::Batch(batch) => {
                for change in &batch.waves {
                    info!(wave = %change.number, state = %change.progress.state, begun = change.progress.begun.len(), "wave: recorded");
                }
            }
            WriteRequest::Archive(jobs) => {
                for ended in jobs {
                    self.revisions.jobs.remove(&ended.job);
                }
            }
            WriteRequest::Remove(_) => {}
            WriteRequest::Speeds(_) => {
                self.is_writing_speeds = false;
                if let Some(revision) = revisions.get(keys::WORKER_SPEEDS) {
                    self.revisions.speeds = *revision;
                }
            }
        }
    }

    /// Returns the writes of a request, to be committed one after the other.
    fn groups(&self, request: &WriteRequest) -> Vec<WriteGroup> {
        match request {
            WriteRequest::Batch(batch) => {
                let changes = batch.changes.iter();
                let changes = changes.filter_map(|change| self.write_change(change));
                let mut groups = split_by_size(changes.collect());
                let waves = batch.waves.iter();
                groups.extend(waves.filter_map(|change| {
                    Some(vec![(
                        WrittenRecord::Wave(change.number),
                        self.write_wave(change)?,
                    )])
                }));
                groups
            }
            WriteRequest::Archive(jobs) => {
                let jobs = jobs.iter().filter_map(|ended| self.archive_job(ended));
                vec![jobs.collect()]
            }
            WriteRequest::Speeds(record) => {
                let write = self.write_speeds(record).into_iter();
                write
                    .map(|write| vec![(WrittenRecord::Speeds, write)])
                    .collect()
            }
            WriteRequest::Remove(jobs) => {
                let chunks = jobs.chunks(MAX_REMOVALS);
                chunks
                    .map(|jobs| vec![(WrittenRecord::Removal, remove_jobs(jobs))])
                    .collect()
            }
        }
    }

    fn write_change(&self, change: &JobChange) -> Option<(WrittenRecord, Transaction)> {
        let key = keys::progress(&change.job);
        let value = match serde_json::to_vec(&change.progress) {
            Ok(value) => value,
            Err(err) => {
                warn!(job = %change.job, %err, "lead: a progress record cannot be encoded");
                return None;
            }
        };
        let waiting = change.leaves_queue.iter();
        let transaction = Transaction {
            expect: vec![(key.clone(), self.revision_of(&change.job))],
            writes: vec![(key, value, None)],
            removes: waiting
                .map(|queue| keys::waiting(queue, &change.job))
                .collect(),
        };
        Some((WrittenRecord::Job(change.job.clone()), transaction))
    }

    fn write_wave(&self, change: &WaveChange) -> Option<Transaction> {
        let key = keys::maintenance(change.number);
        let value = match serde_json::to_vec(&change.progress) {
            Ok(value) => value,
            Err(err) => {
                warn!(wave = %change.number, %err, "lead: the record of a wave cannot be encoded");
                return None;
            }
        };
        let mut transaction = Transaction::default();
        let expected = self.revisions.waves.get(&change.number);
        let expected = expected.copied().unwrap_or_default();
        transaction.expect.push((key.clone(), expected));
        transaction.writes.push((key, value, None));
        let (status_key, status) = self.waves.status(change.number, change.progress.state);
        transaction.writes.push((status_key, status, None));
        Some(transaction)
    }

    fn write_speeds(&self, record: &SpeedRecord) -> Option<Transaction> {
        let value = match serde_json::to_vec(record) {
            Ok(value) => value,
            Err(err) => {
                warn!(%err, "lead: the speeds of workers cannot be encoded");
                return None;
            }
        };
        let key = keys::WORKER_SPEEDS.to_owned();
        let mut transaction = Transaction::default();
        transaction
            .expect
            .push((key.clone(), self.revisions.speeds));
        transaction.writes.push((key, value, None));
        Some(transaction)
    }

    fn archive_job(&self, ended: &EndedJob) -> Option<(WrittenRecord, Transaction)> {
        let id = &ended.job;
        let value = match serde_json::to_vec(ended) {
            Ok(value) => value,
            Err(err) => {
                warn!(job = %id, %err, "lead: the record of an ended job cannot be encoded");
                return None;
            }
        };
        let transaction = Transaction {
            expect: vec![
                (keys::progress(id), self.revision_of(id)),
                (keys::ended(id), StoreRevision(0)),
            ],
            writes: vec![(keys::ended(id), value, None)],
            removes: vec![keys::job(id), keys::cancel(id), keys::progress(id)],
        };
        Some((WrittenRecord::ArchivedJob(id.clone()), transaction))
    }

    /// Returns the revision of a job's progress record, 0 if it has none.
    fn revision_of(&self, id: &JobId) -> StoreRevision {
        self.revisions.jobs.get(id).copied().unwrap_or_default()
    }
}

fn remove_jobs(jobs: &[JobId]) -> Transaction {
    Transaction {
        removes: jobs.iter().map(keys::ended).collect(),
        ..Transaction::default()
    }
}
