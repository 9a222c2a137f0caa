use super::{
    asker::{Asker, Directive},
    clocks::WorkerClocks,
    context::{Dispatcher, WorkerReader},
    event::{Event, EventSender},
    load::{Records, load_records},
    log_lines::{log_ends, log_jobs},
    orders::{OrderSender, group_by_worker},
    requests::deliver_requests,
    worker_list::deliver_workers,
    writer::{Write, Writer},
};
use crate::{
    clock::present,
    follow::follow_prefix,
    keys::REQUESTS,
    ports::{KeyValueStore, WorkerCalls},
    term::{Term, TermStanding, keep_term, resign},
};
use lycheeyard_jobs::{BootTime, EndNumber, JobScheduler, SchedulingPolicy, WorkerInfo, WorkerKey};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use strum::Display;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, interval, sleep},
};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

/// How often the passing of time alone is looked at.
const TICK: Duration = Duration::from_millis(150);
/// How often waiting work is planned again although nothing has happened.
const PLAN_EVERY: Duration = Duration::from_millis(450);
/// How often the end of records' lives is looked at.
const EXPIRE_EVERY: Duration = Duration::from_secs(10);
/// A holder that cannot reach the store extends workers' leases for this long after its own lease.
const DOUBT_LIMIT: Duration = Duration::from_millis(5000);
/// Workers' changes are read in groups this far apart.
const WORKER_LIST_GAP: Duration = Duration::from_millis(250);
const LOAD_PAUSE: Duration = Duration::from_millis(100);

/// Why a term ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum TermEnd {
    /// The process stops.
    Stopped,
    /// The lease ended.
    LeaseEnded,
    /// Another instance schedules.
    Deposed,
}

struct AskerHandle {
    key: WorkerKey,
    worker: watch::Sender<WorkerInfo>,
    directive: watch::Sender<Directive>,
    task: tokio::task::AbortHandle,
}

/// One term in which this instance schedules.
pub(super) struct Leadership<S, W, R> {
    dispatcher: Dispatcher<S, W, R>,
    term: Term,
    standing: watch::Receiver<TermStanding>,
    events: EventSender,
    inbox: mpsc::UnboundedReceiver<Event>,
    clocks: WorkerClocks,
    askers: BTreeMap<lycheeyard_protocol::WorkerId, AskerHandle>,
    tasks: JoinSet<()>,
    /// When the lease came into doubt.
    doubtful_since: Option<BootTime>,
}

impl<S: KeyValueStore, W: WorkerCalls, R: WorkerReader> Leadership<S, W, R> {
    /// Begins to keep a term.
    pub fn begin(dispatcher: Dispatcher<S, W, R>, term: Term) -> Self {
        let (events, inbox) = mpsc::unbounded_channel();
        let (tx, standing) = watch::channel(TermStanding::Held(term.valid_until));
        let mut tasks = JoinSet::new();
        tasks.spawn(keep_term(dispatcher.store.clone(), term, tx));
        Self {
            dispatcher,
            term,
            standing,
            events,
            inbox,
            clocks: WorkerClocks::default(),
            askers: BTreeMap::new(),
            tasks,
            doubtful_since: None,
        }
    }

    /// Schedules until the term is over or `stop` is cancelled.
    pub async fn run(mut self, stop: &CancellationToken) -> TermEnd {
        let end = self.schedule(stop).await;
        self.tasks.abort_all();
        if end == TermEnd::Stopped {
            resign(&self.dispatcher.store, self.term).await;
        }
        end
    }

    async fn schedule(&mut self, stop: &CancellationToken) -> TermEnd {
        let records = match self.load(stop).await {
            Ok(records) => records,
            Err(end) => return end,
        };
        let writes = self.start_followers(&records);
        let mut scheduler = self.new_scheduler(records);
        let mut config = self.dispatcher.config.subscribe();
        let mut ticks = interval(TICK);
        let mut is_writing = false;
        let mut plan_at = Instant::now();
        let mut expire_at = Instant::now() + EXPIRE_EVERY;
        loop {
            tokio::select! {
                () = stop.cancelled() => return TermEnd::Stopped,
                changed = self.standing.changed() => {
                    if changed.is_err() {
                        return TermEnd::LeaseEnded;
                    }
                }
                Ok(()) = config.changed() => {
                    scheduler.set_policy(policy_of(&config.borrow_and_update()));
                }
                Some(event) = self.inbox.recv() => {
                    if !self.take_events(event, &mut scheduler, &mut is_writing) {
                        return TermEnd::Deposed;
                    }
                }
                _ = ticks.tick() => {}
            }
            let standing = *self.standing.borrow_and_update();
            if standing == TermStanding::Over {
                return TermEnd::LeaseEnded;
            }
            let now = present();
            if standing.may_act(now.boot) {
                self.doubtful_since = None;
                scheduler.tick(now);
                if plan_at <= Instant::now() {
                    plan_at = Instant::now() + PLAN_EVERY;
                    scheduler.request_plan();
                }
                scheduler.plan(now);
                if !is_writing && let Some(batch) = scheduler.take_batch() {
                    is_writing = writes.send(Write::Batch(batch)).is_ok();
                }
                if expire_at <= Instant::now() {
                    expire_at = Instant::now() + EXPIRE_EVERY;
                    let expired = scheduler.take_expired(now);
                    if !expired.is_empty() && writes.send(Write::Remove(expired)).is_err() {
                        warn!("lead: the writer has ended");
                    }
                }
                self.send_orders(&mut scheduler);
            } else {
                self.doubtful_since.get_or_insert(now.boot);
            }
            self.direct_askers(&scheduler);
        }
    }

    async fn load(&mut self, stop: &CancellationToken) -> Result<Records, TermEnd> {
        loop {
            if stop.is_cancelled() {
                return Err(TermEnd::Stopped);
            }
            if *self.standing.borrow_and_update() == TermStanding::Over {
                return Err(TermEnd::LeaseEnded);
            }
            match load_records(&self.dispatcher.store).await {
                Ok(records) => return Ok(records),
                Err(err) => warn!(%err, "lead: the records cannot be read yet"),
            }
            sleep(LOAD_PAUSE).await;
        }
    }

    fn new_scheduler(&self, records: Records) -> JobScheduler {
        let now = present();
        let policy = policy_of(&self.dispatcher.config.current());
        let predecessor_until = now.boot.after(DOUBT_LIMIT);
        let mut scheduler = JobScheduler::new(self.dispatcher.limits, policy, predecessor_until);
        let mut progress = records.progress;
        let jobs = records.jobs.len();
        for job in records.jobs {
            let progress = progress.remove(&job.id);
            scheduler.add_job(job, progress, now);
        }
        for id in &records.cancelled {
            scheduler.cancel_job(id, now);
        }
        info!(epoch = %self.term.epoch, jobs, cancelled = records.cancelled.len(), "lead: the records are read");
        scheduler
    }

    fn start_followers(&mut self, records: &Records) -> mpsc::UnboundedSender<Write> {
        let (tx, rx) = mpsc::unbounded_channel();
        let writer = Writer {
            store: self.dispatcher.store.clone(),
            term: self.term,
            revisions: records.revisions.clone(),
            events: self.events.clone(),
        };
        self.tasks.spawn(writer.run(rx));
        let events = self.events.clone();
        self.tasks.spawn(follow_prefix(
            self.dispatcher.store.clone(),
            REQUESTS.to_owned(),
            Some(records.requests_as_of),
            Duration::ZERO,
            move |event| deliver_requests(event, &events),
        ));
        let events = self.events.clone();
        let reader = self.dispatcher.reader.clone();
        self.tasks.spawn(follow_prefix(
            self.dispatcher.store.clone(),
            reader.prefix().to_owned(),
            None,
            WORKER_LIST_GAP,
            move |event| deliver_workers(event, &reader, &events),
        ));
        tx
    }

    /// Takes up all events that have come; false if the term is over.
    fn take_events(
        &mut self,
        first: Event,
        scheduler: &mut JobScheduler,
        is_writing: &mut bool,
    ) -> bool {
        let now = present();
        let mut next = Some(first);
        while let Some(event) = next {
            match event {
                Event::Deposed => return false,
                Event::Written(batch) => {
                    *is_writing = false;
                    log_jobs(&batch);
                    scheduler.batch_committed(batch, now);
                }
                Event::Submitted(job) => scheduler.add_job(*job, None, now),
                Event::Cancelled(id) => scheduler.cancel_job(&id, now),
                Event::WorkerListed(worker) => scheduler.worker_listed(*worker, now),
                Event::WorkerUnlisted(id) => scheduler.worker_unlisted(&id),
                Event::WorkersListed(workers) => scheduler.workers_listed(workers, now),
                Event::Reported(report) => {
                    log_ends(&report);
                    scheduler.worker_reported(report, now);
                }
                Event::WorkerGone(key) => {
                    warn!(worker = %key.id, incarnation = %key.incarnation, "worker: this life has ended");
                    scheduler.worker_gone(&key, now);
                }
                Event::LeaseSent(key, sent_at) => scheduler.lease_extended(&key, sent_at),
                Event::Started(task, run, answer) => {
                    scheduler.start_answered(&task, run, answer, now);
                }
                Event::StopConfirmed(task, run) => scheduler.stop_answered(&task, run, now),
            }
            next = self.inbox.try_recv().ok();
        }
        true
    }

    fn send_orders(&mut self, scheduler: &mut JobScheduler) {
        let orders = scheduler.take_orders();
        if orders.is_empty() {
            return;
        }
        while self.tasks.try_join_next().is_some() {}
        for orders in group_by_worker(orders).into_values() {
            let sender = OrderSender {
                calls: self.dispatcher.workers.clone(),
                epoch: self.term.epoch,
                clocks: self.clocks.clone(),
                events: self.events.clone(),
            };
            self.tasks.spawn(sender.send_all(orders));
        }
    }

    /// Starts and stops the asking of workers, and tells each asker what to say next.
    fn direct_askers(&mut self, scheduler: &JobScheduler) {
        let now = present();
        let in_doubt = self
            .doubtful_since
            .is_some_and(|since| since.after(DOUBT_LIMIT).is_past(now.boot));
        let mut wanted = BTreeSet::new();
        for worker in scheduler.workers_to_ask() {
            wanted.insert(worker.key.id.clone());
            self.keep_asker(worker);
        }
        self.askers.retain(|id, asker| {
            let keep = wanted.contains(id);
            if !keep {
                asker.task.abort();
            }
            keep
        });
        for acknowledgement in scheduler.acknowledgements(now) {
            let Some(asker) = self.askers.get(&acknowledgement.worker.id) else {
                continue;
            };
            let next = Directive {
                acknowledge: acknowledgement.through,
                extends_lease: acknowledgement.extends_lease && !in_doubt,
            };
            asker.directive.send_if_modified(|known| {
                let changed = *known != next;
                *known = next;
                changed
            });
        }
    }

    fn keep_asker(&mut self, worker: &WorkerInfo) {
        if let Some(asker) = self.askers.get(&worker.key.id) {
            if asker.key == worker.key {
                asker.worker.send_if_modified(|known| {
                    let changed = known != worker;
                    if changed {
                        known.clone_from(worker);
                    }
                    changed
                });
                return;
            }
            asker.task.abort();
        }
        let (worker_tx, worker_rx) = watch::channel(worker.clone());
        let (directive_tx, directive_rx) = watch::channel(Directive {
            acknowledge: EndNumber(0),
            extends_lease: true,
        });
        let asker = Asker {
            calls: self.dispatcher.workers.clone(),
            worker: worker_rx,
            epoch: self.term.epoch,
            max_lease: self.dispatcher.limits.max_lease,
            clocks: self.clocks.clone(),
            directive: directive_rx,
            events: self.events.clone(),
        };
        let handle = AskerHandle {
            key: worker.key.clone(),
            worker: worker_tx,
            directive: directive_tx,
            task: self.tasks.spawn(asker.run()),
        };
        self.askers.insert(worker.key.id.clone(), handle);
    }
}

fn policy_of(config: &crate::config::ProvedConfig) -> SchedulingPolicy {
    let config = config.config.as_ref();
    config
        .map(|config| config.policy.clone())
        .unwrap_or_default()
}
