use super::{
    admission::Admission,
    apply_events::{EventOutcome, apply_events},
    dispatcher::{Dispatcher, Environment},
    evacuated_data_centres::EvacuatedDataCentres,
    event::{Event, EventSender},
    leaving_workers::LeavingWorkers,
    load::{Records, RecordsLoader},
    loop_state::LoopState,
    machines::MachineLister,
    report_pollers::ReportPollers,
    run_end_lines::RunEndLines,
    silent_gate::SilentGate,
    silent_workers::Opening,
    speed_lines::log_speed_changes,
    term_context::TermContext,
    term_end::TermEnd,
    worker_clocks::WorkerClocks,
    worker_crash_lines::log_worker_crashes,
    worker_epochs::WorkerEpochs,
};
use crate::{
    clock::Clock,
    config::VerifiedConfig,
    keys,
    metrics::{record_no_term, record_term},
    pass_part::PassPart,
    ports::EvacuationFormat,
    term::{Term, TermState, release_term, renew_term, successor_grace},
};
use lycheeyard_jobs::{BootTime, JobScheduler, SchedulingPolicy, SilentWorker};
use std::time::Duration;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use tracing::{error, info, warn};

/// The time without an event after which a pass of the loop begins.
const MAX_IDLE_TIME: Duration = Duration::from_millis(150);
const LOAD_PAUSE: Duration = Duration::from_millis(100);

/// Schedules during one term of this instance.
pub(super) struct Leadership<E: Environment> {
    pub(super) dispatcher: Dispatcher<E>,
    pub(super) term: Term,
    pub(super) term_state: watch::Receiver<TermState>,
    pub(super) events: EventSender,
    pub(super) inbox: mpsc::UnboundedReceiver<Event>,
    clocks: WorkerClocks,
    pub(super) epochs: WorkerEpochs,
    pub(super) leaving: LeavingWorkers,
    pub(super) evacuated: EvacuatedDataCentres,
    pub(super) gate: SilentGate,
    pub(super) tasks: JoinSet<()>,
    /// The tasks that send orders to workers.
    pub(super) orders: JoinSet<()>,
}

impl<E: Environment> Leadership<E> {
    /// Starts to renew the lease of a term.
    pub fn begin(dispatcher: Dispatcher<E>, term: Term) -> Self {
        let (events, inbox) = mpsc::unbounded_channel();
        let (tx, term_state) = watch::channel(TermState::Held(term.valid_until));
        let mut tasks = JoinSet::new();
        let store = dispatcher.store.clone();
        tasks.spawn(renew_term(store, dispatcher.clock.clone(), term, tx));
        Self {
            dispatcher,
            term,
            term_state,
            events,
            inbox,
            clocks: WorkerClocks::default(),
            epochs: WorkerEpochs::new(term.epoch),
            leaving: LeavingWorkers::default(),
            evacuated: EvacuatedDataCentres::default(),
            gate: SilentGate::default(),
            tasks,
            orders: JoinSet::new(),
        }
    }

    /// Schedules until the term ends or `stop` is cancelled. Releases the lease when stopped.
    pub async fn run(mut self, stop: &CancellationToken) -> TermEnd {
        record_term(self.term.epoch);
        let end = self.schedule(stop).await;
        record_no_term();
        self.tasks.abort_all();
        self.orders.abort_all();
        if matches!(end, TermEnd::Stopped | TermEnd::HandedOver) {
            release_term(&self.dispatcher.store, self.term).await;
        }
        end
    }

    async fn schedule(&mut self, stop: &CancellationToken) -> TermEnd {
        let records = match self.load(stop).await {
            Ok(records) => records,
            Err(end) => return end,
        };
        let silent = match self.take_over_silent_workers(&records, stop).await {
            Ok(taken_over) => taken_over,
            Err(end) => return end,
        };
        let writes = self.start_store_tasks(&records);
        let clock = self.dispatcher.clock.clone();
        let mut state = LoopState::new(clock, writes, self.start_machine_lister());
        let ended_at = self.predecessors_ended_at();
        let mut scheduler = self.new_scheduler(records, silent.restored, ended_at);
        let silent_writes = self.start_silent_writer(silent.writer, &scheduler, ended_at);
        let mut opening = Opening::begin(self.dispatcher.clock.boot());
        let mut pollers = ReportPollers::new(
            self.term_context(),
            self.dispatcher.clock.clone(),
            self.dispatcher.limits,
        );
        let mut run_ends = RunEndLines::default();
        let mut admission = self.start_admission_control();
        let mut config = self.dispatcher.config.subscribe();
        let end = loop {
            state.pause_between_passes().await;
            let first = tokio::select! {
                () = stop.cancelled() => break TermEnd::Stopped,
                changed = self.term_state.changed() => {
                    if changed.is_err() {
                        break TermEnd::LeaseEnded;
                    }
                    None
                }
                Ok(()) = config.changed() => {
                    scheduler.set_policy(scheduling_policy(&config.borrow_and_update()));
                    None
                }
                Some(event) = self.inbox.recv() => Some(event),
                () = sleep(MAX_IDLE_TIME) => None,
                () = state.wait_for_paced_work(&scheduler) => None,
            };
            self.gate.begin_pass();
            state.times.begin_pass();
            // Read before the queue is emptied, so that every lease extension that was sent by then is known.
            let now = self.dispatcher.clock.now();
            let events = usize::from(first.is_some()) + self.inbox.len();
            let (outcome, _) = state.times.measure(PassPart::Events, || {
                apply_events(first, &mut self.inbox, &mut scheduler, &mut run_ends, now)
            });
            match outcome {
                EventOutcome::Applied {
                    written,
                    is_hand_over_requested,
                } => {
                    state.count_written(written);
                    // The machine service expects one holder at a time for a machine.
                    if is_hand_over_requested && !scheduler.has_open_waves() {
                        break TermEnd::HandedOver;
                    }
                }
                EventOutcome::Deposed => break TermEnd::Deposed,
            }
            let term_state = *self.term_state.borrow_and_update();
            if term_state == TermState::Ended {
                break TermEnd::LeaseEnded;
            }
            let may_act = term_state.may_act(self.dispatcher.clock.boot());
            if may_act && !self.gate.is_open() {
                self.announce_term(&mut scheduler, &mut opening, &silent_writes, now);
            } else if may_act {
                self.act(&mut scheduler, &mut state, &silent_writes, now);
                if let Some(admission) = &mut admission {
                    let times = &mut state.times;
                    times.measure(PassPart::Admission, || admission.update(&scheduler, now));
                }
            }
            run_ends.log_due();
            log_worker_crashes(&scheduler.take_worker_crashes());
            log_speed_changes(&scheduler.take_speed_changes());
            state.update_pollers(&mut pollers, &scheduler, now, &mut self.tasks);
            state.end_pass(events);
        };
        state.log_times(&scheduler, self.dispatcher.clock.now());
        if matches!(end, TermEnd::Stopped | TermEnd::HandedOver) {
            self.finish(&mut scheduler, &mut state, &mut run_ends).await;
        }
        end
    }

    /// Starts admission control, if this instance is to use it.
    fn start_admission_control(&mut self) -> Option<Admission> {
        if !self.dispatcher.has_admission_control {
            return None;
        }
        let now = self.dispatcher.clock.boot();
        Some(Admission::new(self.write_closed_queues(), now))
    }

    async fn load(&mut self, stop: &CancellationToken) -> Result<Records, TermEnd> {
        let evacuations = self.dispatcher.evacuations.as_ref();
        let mut loader = RecordsLoader::new(evacuations.map(EvacuationFormat::prefix));
        loop {
            if stop.is_cancelled() {
                return Err(TermEnd::Stopped);
            }
            if *self.term_state.borrow_and_update() == TermState::Ended {
                return Err(TermEnd::LeaseEnded);
            }
            match loader.load(&self.dispatcher.store).await {
                Ok(records) => return Ok(records),
                Err(err) => warn!(%err, "lead: the records cannot be read yet"),
            }
            sleep(LOAD_PAUSE).await;
        }
    }

    /// Creates the scheduler of this term. All earlier terms that may have extended leases had ended at `ended_at`.
    fn new_scheduler(
        &self,
        records: Records,
        silent: Vec<SilentWorker>,
        ended_at: BootTime,
    ) -> JobScheduler {
        let now = self.dispatcher.clock.now();
        let policy = scheduling_policy(&self.dispatcher.config.current());
        // The predecessor may extend workers' leases until this time.
        let limits = self.dispatcher.limits;
        let predecessor_until = ended_at.after(successor_grace(limits.max_lease));
        let mut scheduler = JobScheduler::new(limits, policy, predecessor_until);
        // It sends no start once its term has ended.
        scheduler.limit_inherited_starts(ended_at);
        for id in records.jobs_with_unreadable_progress() {
            let key = keys::progress(id);
            error!(job = %id, %key, "lead: job set aside, its progress record cannot be read; correct or delete the record, then restart this instance");
            scheduler.set_job_aside(id.clone());
        }
        if let Some(format) = &self.dispatcher.evacuations {
            self.evacuated.replace(&records.evacuations, format);
            scheduler.set_evacuated_data_centres(self.evacuated.all());
        }
        scheduler.set_wave_records(records.waves);
        scheduler.restore_speeds(&records.speeds, now);
        scheduler.restore_silent_workers(silent);
        let mut progress = records.progress;
        let jobs = records.jobs.len();
        for job in records.jobs {
            let progress = progress.remove(&job.id);
            scheduler.add_job(job, progress, now);
        }
        for id in &records.cancelled {
            scheduler.cancel_job(id, now);
        }
        let ended_ms = now.boot.since(ended_at).as_millis();
        info!(epoch = %self.term.epoch, jobs, cancelled = records.cancelled.len(), predecessors_ended_by = %self.term.predecessors_ended_by, ended_ms, "lead: the records are read");
        scheduler
    }

    /// Returns when all earlier terms had certainly ended that may have extended leases.
    pub(super) fn predecessors_ended_at(&self) -> BootTime {
        let times = self.dispatcher.store.times();
        let ended_at = times.reached_by(self.term.predecessors_ended_by);
        ended_at.unwrap_or_else(|| self.dispatcher.clock.boot())
    }

    pub(super) fn term_context(&self) -> TermContext<E::Workers> {
        TermContext {
            calls: self.dispatcher.workers.clone(),
            epochs: self.epochs.clone(),
            clocks: self.clocks.clone(),
            leaving: self.leaving.clone(),
            evacuated: self.evacuated.clone(),
            gate: self.gate.clone(),
            events: self.events.clone(),
            term_state: self.term_state.clone(),
        }
    }

    fn start_machine_lister(&mut self) -> watch::Sender<bool> {
        let (tx, is_wanted) = watch::channel(false);
        let lister = MachineLister {
            calls: self.dispatcher.machines.clone(),
            clock: self.dispatcher.clock.clone(),
            is_wanted,
            events: self.events.clone(),
        };
        self.tasks.spawn(lister.run());
        tx
    }
}

fn scheduling_policy(config: &VerifiedConfig) -> SchedulingPolicy {
    let config = config.config.as_ref();
    config
        .map(|config| config.policy.clone())
        .unwrap_or_default()
}
