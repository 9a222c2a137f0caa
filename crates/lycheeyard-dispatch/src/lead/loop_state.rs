use super::{
    pass_times::PassTimes,
    report_pollers::ReportPollers,
    waiting_guarantee_line::log_waiting_guarantee,
    waiting_step_lines::log_waiting_step,
    write_request::WriteRequest,
    writer::{MAX_ARCHIVED_JOBS, MAX_BATCH_JOBS},
};
use crate::{
    clock::Clock,
    metrics::{record_plan, record_stats},
    pass_part::PassPart,
    ports::WorkerCalls,
};
use lycheeyard_clients::Pacer;
use lycheeyard_jobs::{JobScheduler, Now};
use std::time::Duration;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep_until},
};
use tracing::warn;

/// How often waiting work is planned again without a change.
const PLAN_INTERVAL: Duration = Duration::from_millis(450);
/// The loop leaves half of the processor to callers, reports, records and orders.
const PASS_PAUSE_FACTOR: u32 = 1;
/// Planning leaves most of the processor to what carries out its decisions: reports, records and orders.
const PLAN_PAUSE_FACTOR: u32 = 3;
/// Each update of the pollers looks at all workers.
const POLLER_PAUSE_FACTOR: u32 = 9;
/// The maximum number of batches that the writer has and has not finished, so that it does not wait for the loop. An urgent
/// start may wait for this many batches.
const MAX_BATCHES_IN_WRITING: usize = 3;
/// While records wait to be written, ended jobs are archived no more often than this.
const ARCHIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How often expired records are removed and the statistics are exported.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// How often it is examined whether the speeds of workers have to be written.
const SPEEDS_INTERVAL: Duration = Duration::from_secs(2);

/// How often it is examined which steps have waited long, for logs.
const LONG_WAITS_INTERVAL: Duration = Duration::from_secs(1);

/// The state of the scheduling loop between two passes.
pub(super) struct LoopState<C> {
    pub times: PassTimes<C>,
    writes: mpsc::UnboundedSender<WriteRequest>,
    /// Signals to the lister whether the machines are to be listed, which is the case while waves are open.
    machines_wanted: watch::Sender<bool>,
    /// The number of batches that the writer has not finished.
    batches_in_writing: usize,
    pass_pacer: Pacer,
    plan_at: Instant,
    plan_pacer: Pacer,
    poller_pacer: Pacer,
    /// Whether a pass left the pollers without an update.
    are_pollers_due: bool,
    expire_at: Instant,
    archive_at: Instant,
    speeds_at: Instant,
    long_waits_at: Instant,
}

impl<C: Clock> LoopState<C> {
    pub fn new(
        clock: C,
        writes: mpsc::UnboundedSender<WriteRequest>,
        machines_wanted: watch::Sender<bool>,
    ) -> Self {
        Self {
            times: PassTimes::new(clock),
            writes,
            machines_wanted,
            batches_in_writing: 0,
            pass_pacer: Pacer::new(PASS_PAUSE_FACTOR),
            plan_at: Instant::now(),
            plan_pacer: Pacer::new(PLAN_PAUSE_FACTOR),
            poller_pacer: Pacer::new(POLLER_PAUSE_FACTOR),
            are_pollers_due: false,
            expire_at: Instant::now() + EXPIRY_INTERVAL,
            archive_at: Instant::now(),
            speeds_at: Instant::now() + SPEEDS_INTERVAL,
            long_waits_at: Instant::now() + LONG_WAITS_INTERVAL,
        }
    }

    /// Waits until work that was put off may be done; never returns if there is none.
    pub async fn wait_for_paced_work(&self, scheduler: &JobScheduler) {
        let is_plan_due = scheduler.is_plan_due() && !self.plan_pacer.is_open();
        let plan_at = is_plan_due.then(|| self.plan_pacer.next_at());
        let pollers_at = self.are_pollers_due.then(|| self.poller_pacer.next_at());
        match plan_at.into_iter().chain(pollers_at).min() {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until the next pass may begin.
    pub async fn pause_between_passes(&self) {
        if !self.pass_pacer.is_open() {
            sleep_until(self.pass_pacer.next_at()).await;
        }
    }

    /// Notes that a pass has ended that applied `events` events.
    pub fn end_pass(&mut self, events: usize) {
        let elapsed = self.times.count_pass(events);
        self.pass_pacer.record(elapsed);
    }

    /// Whether the writer has batches that it has not finished.
    pub fn is_writing(&self) -> bool {
        self.batches_in_writing > 0
    }

    /// Notes that the writer has finished batches.
    pub fn count_written(&mut self, batches: usize) {
        self.batches_in_writing -= batches;
    }

    /// Plans if a round is due and may begin.
    pub fn plan(&mut self, scheduler: &mut JobScheduler, now: Now) {
        if self.plan_at <= Instant::now() {
            self.plan_at = Instant::now() + PLAN_INTERVAL;
            scheduler.request_plan();
        }
        if !scheduler.is_plan_due() || !self.plan_pacer.is_open() {
            return;
        }
        let (has_planned, elapsed) = self.times.measure(PassPart::Plan, || scheduler.plan(now));
        if has_planned {
            record_plan(elapsed);
            self.plan_pacer.record(elapsed);
        }
    }

    /// Hands changed records to the writer.
    pub fn write(&mut self, scheduler: &mut JobScheduler) {
        while self.batches_in_writing < MAX_BATCHES_IN_WRITING
            && let Some(batch) = scheduler.take_batch(MAX_BATCH_JOBS)
        {
            self.batches_in_writing += 1;
            self.send_to_writer(WriteRequest::Batch(batch));
        }
    }

    /// Hands ended jobs to the writer, one transaction at a time, and rarely while other records wait for it.
    pub fn archive(&mut self, scheduler: &mut JobScheduler) {
        if self.batches_in_writing > 0 && self.archive_at > Instant::now() {
            return;
        }
        let ended = scheduler.take_ended(MAX_ARCHIVED_JOBS);
        if ended.is_empty() {
            return;
        }
        self.archive_at = Instant::now() + ARCHIVE_INTERVAL;
        self.send_to_writer(WriteRequest::Archive(ended));
    }

    /// Removes expired records and exports the statistics from time to time.
    pub fn remove_expired(&mut self, scheduler: &mut JobScheduler, now: Now) {
        if self.expire_at > Instant::now() {
            return;
        }
        self.expire_at = Instant::now() + EXPIRY_INTERVAL;
        record_stats(scheduler.stats());
        self.log_times(scheduler, now);
        let expired = scheduler.take_expired(now);
        if !expired.is_empty() {
            self.send_to_writer(WriteRequest::Remove(expired));
        }
    }

    /// Logs how long the passes took since the last such line.
    pub fn log_times(&mut self, scheduler: &JobScheduler, now: Now) {
        self.times.log(scheduler.oldest_report_age(now));
    }

    /// Hands the speeds of workers to the writer if they have changed noticeably.
    pub fn write_speeds(&mut self, scheduler: &mut JobScheduler, now: Now) {
        if self.speeds_at > Instant::now() {
            return;
        }
        self.speeds_at = Instant::now() + SPEEDS_INTERVAL;
        if let Some(record) = scheduler.take_speed_record(now) {
            self.send_to_writer(WriteRequest::Speeds(record));
        }
    }

    /// Logs which steps have waited long while nothing of their jobs ran, and why.
    pub fn log_long_waits(&mut self, scheduler: &mut JobScheduler, now: Now) {
        if self.long_waits_at > Instant::now() {
            return;
        }
        self.long_waits_at = Instant::now() + LONG_WAITS_INTERVAL;
        for waiting in scheduler.take_long_waits(now) {
            log_waiting_step(&waiting, now);
        }
        for guaranteed in scheduler.take_guaranteed_waits(now) {
            log_waiting_guarantee(&guaranteed, now);
        }
    }

    /// Passes the pollers their directives, unless the last time was too recent.
    pub fn update_pollers<W: WorkerCalls>(
        &mut self,
        pollers: &mut ReportPollers<W, C>,
        scheduler: &JobScheduler,
        now: Now,
        tasks: &mut JoinSet<()>,
    ) {
        self.are_pollers_due = !self.poller_pacer.is_open();
        if self.are_pollers_due {
            return;
        }
        let ((), elapsed) = self.times.measure(PassPart::Pollers, || {
            pollers.update(scheduler, now, tasks);
        });
        self.poller_pacer.record(elapsed);
    }

    /// Tells the lister whether the machines are to be listed.
    pub fn list_machines(&self, is_wanted: bool) {
        self.machines_wanted.send_if_modified(|current| {
            let is_changed = *current != is_wanted;
            *current = is_wanted;
            is_changed
        });
    }

    fn send_to_writer(&self, req: WriteRequest) {
        if self.writes.send(req).is_err() {
            warn!("lead: the writer has ended");
        }
    }
}
