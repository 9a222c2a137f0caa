use super::{
    archive_lister::ArchiveLister,
    closed_queues::{ClosedQueueWriter, ClosedQueues},
    committer::Committer,
    dispatcher::{Environment, WorkerReader},
    epoch_drawer::EpochDrawer,
    event::Event,
    leadership::Leadership,
    load::Records,
    requests::deliver_requests,
    wave_list::deliver_waves,
    worker_list::deliver_workers,
    write_request::WriteRequest,
    writer::{RecordRevisions, Writer},
};
use crate::{
    clock::Clock,
    dated::DatedStore,
    follow::{Followed, OddEntries, follow_prefix},
    keys::{CANCELS, REQUESTS, WAITING},
    ports::{EvacuationFormat, StoreRevision, WaveFormat},
    term::follow_hand_over_requests,
};
use std::time::Duration;
use tokio::sync::{
    mpsc::{UnboundedSender, unbounded_channel},
    watch,
};

/// The pause between two watches of the worker list or the waves, so that changes are read in groups.
const LIST_WATCH_GAP: Duration = Duration::from_millis(250);
/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// How long a watch of waves waits for a change; waves are rare.
const WAVE_WATCH_WAIT: Duration = Duration::from_secs(10);

impl<E: Environment> Leadership<E> {
    /// Starts the writer and the followers of requests, workers and waves. Returns the channel to the writer.
    pub(super) fn start_store_tasks(&mut self, records: &Records) -> UnboundedSender<WriteRequest> {
        let (tx, rx) = unbounded_channel();
        let revisions = RecordRevisions {
            jobs: records.revisions.clone(),
            waves: records.wave_revisions.clone(),
            speeds: records.speeds_revision,
        };
        let writer = Writer::new(
            self.dispatcher.store.clone(),
            self.dispatcher.waves.clone(),
            self.term,
            revisions,
            self.events.clone(),
            self.epochs.clone(),
        );
        self.tasks.spawn(writer.run(rx));
        self.follow_requests(records.requests_as_of);
        self.follow_workers();
        self.follow_waves();
        self.follow_evacuations(records.evacuations_as_of);
        self.list_archive();
        self.draw_epochs();
        self.follow_hand_over_requests();
        tx
    }

    fn follow_hand_over_requests(&mut self) {
        let events = self.events.clone();
        self.tasks.spawn(follow_hand_over_requests(
            self.dispatcher.store.clone(),
            self.term,
            self.dispatcher.size,
            move || events.send(Event::HandOverRequested).is_ok(),
        ));
    }

    /// Starts the writer of the keys of closed queues. Returns the channel that tells it which ones are closed.
    pub(super) fn write_closed_queues(&mut self) -> watch::Sender<ClosedQueues> {
        let (tx, wanted) = watch::channel(ClosedQueues::new());
        let writer = ClosedQueueWriter::new(self.committer(), wanted);
        self.tasks.spawn(writer.run());
        tx
    }

    pub(super) fn committer(&self) -> Committer<DatedStore<E::Store, E::Clock>> {
        Committer {
            store: self.dispatcher.store.clone(),
            term: self.term,
            events: self.events.clone(),
        }
    }

    fn draw_epochs(&mut self) {
        let drawer = EpochDrawer {
            committer: self.committer(),
            epochs: self.epochs.clone(),
        };
        self.tasks.spawn(drawer.run());
    }

    fn list_archive(&mut self) {
        let lister = ArchiveLister {
            store: self.dispatcher.store.clone(),
            events: self.events.clone(),
        };
        self.tasks.spawn(lister.run());
    }

    fn follow_requests(&mut self, as_of: StoreRevision) {
        let events = self.events.clone();
        self.tasks.spawn(follow_prefix(
            self.dispatcher.store.clone(),
            Followed {
                prefix: REQUESTS.to_owned(),
                // What is neither waiting nor cancelled has begun, and only this scheduler begins jobs.
                listed: vec![WAITING.to_owned(), CANCELS.to_owned()],
                watch_after: Some(as_of),
                gap: Duration::ZERO,
                wait: WATCH_WAIT,
            },
            move |event| deliver_requests(event, &events),
        ));
    }

    fn follow_workers(&mut self) {
        let events = self.events.clone();
        let reader = self.dispatcher.reader.clone();
        let leaving = self.leaving.clone();
        let mut odd = OddEntries::new("workers");
        self.tasks.spawn(follow_prefix(
            self.dispatcher.store.clone(),
            Followed {
                prefix: reader.prefix().to_owned(),
                listed: vec![reader.prefix().to_owned()],
                watch_after: None,
                gap: LIST_WATCH_GAP,
                wait: WATCH_WAIT,
            },
            move |event| deliver_workers(event, &reader, &mut odd, &leaving, &events),
        ));
    }

    fn follow_evacuations(&mut self, as_of: StoreRevision) {
        let Some(format) = self.dispatcher.evacuations.clone() else {
            return;
        };
        let events = self.events.clone();
        let evacuated = self.evacuated.clone();
        self.tasks.spawn(follow_prefix(
            self.dispatcher.store.clone(),
            Followed {
                prefix: format.prefix().to_owned(),
                listed: vec![format.prefix().to_owned()],
                watch_after: Some(as_of),
                gap: Duration::ZERO,
                // Short, so that a connection that has gone silent is noticed well within the time limit for a request.
                wait: WATCH_WAIT,
            },
            move |event| {
                evacuated.apply(&event, &format);
                let changed = Event::EvacuationsChanged(evacuated.all());
                events.send(changed).is_ok()
            },
        ));
    }

    fn follow_waves(&mut self) {
        let events = self.events.clone();
        let waves = self.dispatcher.waves.clone();
        let clock = self.dispatcher.clock.clone();
        let mut odd = OddEntries::new("waves");
        self.tasks.spawn(follow_prefix(
            self.dispatcher.store.clone(),
            Followed {
                prefix: waves.prefix().to_owned(),
                listed: vec![waves.prefix().to_owned()],
                watch_after: None,
                gap: LIST_WATCH_GAP,
                wait: WAVE_WATCH_WAIT,
            },
            move |event| deliver_waves(event, &waves, &mut odd, clock.now().wall, &events),
        ));
    }
}
