use super::{
    advisor::SimulatedAdvisor, call_epochs::CallEpochs, checks::Violation, crashes::CrashingTasks,
    machines::SimulatedMachines, records::Records, worker::SimulatedWorker,
};
use lycheeyard_jobs::{
    BootTime, Job, JobScheduler, Now, Order, Progress, SchedulingPolicy, SilentWorker, SpeedRecord,
    TaskKey, WorkerInfo, WorkerLimits,
};
use lycheeyard_protocol::{Epoch, JobId, JobState, Timestamp, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

pub(super) const TICK: Duration = Duration::from_millis(10);
const PLAN_INTERVAL_MS: u64 = 450;
/// The maximum number of jobs whose records are written together.
const MAX_BATCH_JOBS: usize = 10;

/// A fault that affects the whole site.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SiteFault {
    /// Another instance takes over; state that is not durable is lost.
    Takeover,
    /// The store rejects writes until [`Self::StoreUp`].
    StoreDown,
    /// The store accepts writes again.
    StoreUp,
}

/// An order that a worker executes with a delay.
#[derive(Clone, Debug)]
pub(super) struct LateOrder {
    pub order: Order,
    pub due_at: BootTime,
    pub sent_at: BootTime,
    /// The epoch that the order carries.
    pub epoch: Epoch,
}

/// A scheduler and workers in virtual time, with checks of the scheduler's guarantees.
#[derive(Clone, Debug)]
pub struct SimulatedSite {
    /// The current virtual time.
    pub now: Now,
    /// The scheduler of the current term.
    pub scheduler: JobScheduler,
    /// The workers by id.
    pub workers: BTreeMap<WorkerId, SimulatedWorker>,
    /// The actual run times of the tasks of a step, by job and step index, where they differ from the estimate.
    pub run_times: BTreeMap<(JobId, usize), Duration>,
    /// The factors by which the run times of single tasks differ from those of their step, where they do.
    pub task_factors: BTreeMap<TaskKey, f64>,
    /// Jobs whose tasks always fail halfway through their work.
    pub failing_jobs: BTreeSet<JobId>,
    /// Tasks that crash the workers that start them.
    pub crashing_tasks: CrashingTasks,
    /// The violations found so far.
    pub violations: Vec<Violation>,
    /// Start orders that workers rejected for lack of capacity.
    pub refused_starts: usize,
    /// The work that was lost because its run was stopped without a checkpoint, in weighted core-seconds.
    pub wasted_core_s: f64,
    /// How long the store takes to write the record of one job; a batch takes a tick at least.
    pub record_time: Duration,
    /// The time when each job ended.
    pub ended_at: BTreeMap<JobId, Timestamp>,
    /// The time when the first task of each job started.
    pub begun_at: BTreeMap<JobId, Timestamp>,
    /// The advisor, which decides which workers may run the steps of queues with advice.
    pub advisor: SimulatedAdvisor,
    /// The machines of the workers.
    pub machines: SimulatedMachines,
    /// The stored record of the speeds of workers, which the next scheduler reads.
    pub speeds: SpeedRecord,
    /// The stored record of silent workers, which the next scheduler reads.
    pub silent_workers: Vec<SilentWorker>,
    pub(super) limits: WorkerLimits,
    pub(super) policy: SchedulingPolicy,
    pub(super) records: Records,
    pub(super) late_orders: Vec<LateOrder>,
    pub(super) epoch: Epoch,
    pub(super) call_epochs: CallEpochs,
    pub(super) store_down: bool,
    /// Since when the scheduler has sent report requests for a worker to another incarnation or to another address than it has.
    pub(super) misdirected_since: BTreeMap<WorkerId, BootTime>,
    /// Set by tests that make gang members time out while they wait for the others. Otherwise each such timeout is
    /// recorded as a violation.
    pub allows_missing_peers: bool,
}

impl SimulatedSite {
    /// Creates a site with the given workers.
    #[must_use]
    pub fn new(
        workers: Vec<SimulatedWorker>,
        policy: SchedulingPolicy,
        limits: WorkerLimits,
    ) -> Self {
        let now = Now {
            boot: BootTime(1_000_000),
            wall: Timestamp(1_700_000_000_000),
        };
        let mut site = Self {
            now,
            scheduler: JobScheduler::new(limits, policy.clone(), now.boot),
            workers: BTreeMap::new(),
            run_times: BTreeMap::new(),
            task_factors: BTreeMap::new(),
            failing_jobs: BTreeSet::new(),
            crashing_tasks: CrashingTasks::default(),
            violations: Vec::new(),
            refused_starts: 0,
            wasted_core_s: 0.0,
            record_time: Duration::ZERO,
            ended_at: BTreeMap::new(),
            begun_at: BTreeMap::new(),
            advisor: SimulatedAdvisor::default(),
            machines: SimulatedMachines::default(),
            speeds: SpeedRecord::default(),
            silent_workers: Vec::new(),
            limits,
            policy,
            records: Records::default(),
            late_orders: Vec::new(),
            epoch: Epoch(1),
            call_epochs: CallEpochs::new(Epoch(1)),
            store_down: false,
            misdirected_since: BTreeMap::new(),
            allows_missing_peers: false,
        };
        site.scheduler.workers_listed(Vec::new(), now);
        for worker in workers {
            site.add_worker(worker);
        }
        site
    }

    /// Adds a worker and reports it to the scheduler as listed.
    pub fn add_worker(&mut self, worker: SimulatedWorker) {
        self.scheduler.worker_listed(worker.info.clone(), self.now);
        self.workers.insert(worker.info.key.id.clone(), worker);
    }

    /// Submits a job.
    pub fn submit(&mut self, job: Job) {
        self.records
            .jobs
            .insert(job.id.clone(), Arc::new(job.clone()));
        self.scheduler.add_job(job, None, self.now);
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: &JobId) {
        self.records.cancelled.insert(id.clone(), self.now.boot);
        self.scheduler.cancel_job(id, self.now);
    }

    /// Injects a fault.
    pub fn inject_fault(&mut self, fault: SiteFault) {
        match fault {
            SiteFault::StoreDown => self.store_down = true,
            SiteFault::StoreUp => self.store_down = false,
            SiteFault::Takeover => self.take_over(),
        }
    }

    /// The durable progress of a job.
    #[must_use]
    pub fn progress(&self, id: &JobId) -> Option<&Progress> {
        self.records.progress.get(id)
    }

    /// The durable state of a job.
    #[must_use]
    pub fn state(&self, id: &JobId) -> JobState {
        self.progress(id)
            .map_or(JobState::Queued, |progress| progress.state)
    }

    /// Advances the virtual time by `time`, rounded down to whole ticks of 10 ms.
    pub fn advance(&mut self, time: Duration) {
        let ticks = time.as_millis() / TICK.as_millis();
        for _ in 0..ticks {
            self.run_tick();
        }
    }

    /// Advances the virtual time until all jobs have ended; returns false if they have not within `limit`.
    pub fn settle(&mut self, limit: Duration) -> bool {
        let until = self.now.boot.after(limit);
        while !until.is_past(self.now.boot) {
            if self.records.jobs.keys().all(|id| self.state(id).is_final()) {
                return true;
            }
            self.run_tick();
        }
        false
    }

    fn run_tick(&mut self) {
        self.now.boot = self.now.boot.after(TICK);
        self.now.wall = self.now.wall.after(TICK);
        self.run_workers();
        self.crash_workers();
        self.restart_workers();
        self.execute_late_orders();
        self.run_machines();
        self.answer_for_others();
        self.deliver_reports();
        self.scheduler.tick(self.now);
        if self.now.boot.0 % PLAN_INTERVAL_MS < u64::try_from(TICK.as_millis()).unwrap_or(1) {
            self.scheduler.request_plan();
        }
        self.scheduler.plan(self.now);
        self.advise();
        self.write();
        for order in self.scheduler.take_orders() {
            self.deliver(order);
        }
        for order in self.scheduler.take_maintenance_orders() {
            self.deliver_maintenance(&order);
        }
        self.acknowledge();
    }

    fn take_over(&mut self) {
        self.epoch = self.call_epochs.next();
        self.call_epochs = CallEpochs::new(self.epoch);
        self.records.writing = None;
        self.advisor.drop_call();
        let mut next = JobScheduler::new(self.limits, self.policy.clone(), self.now.boot);
        next.restore_speeds(&self.speeds, self.now);
        next.restore_silent_workers(self.silent_workers.clone());
        let archived = &self.records.archived;
        let jobs = self.records.jobs.iter();
        for (id, job) in jobs.filter(|(id, _)| !archived.contains(*id)) {
            let progress = self.records.progress.get(id).cloned();
            next.add_job(Job::clone(job), progress, self.now);
        }
        let cancelled = self.records.cancelled.keys();
        for id in cancelled.filter(|id| !archived.contains(*id)) {
            next.cancel_job(id, self.now);
        }
        let mut listed: Vec<WorkerInfo> = Vec::new();
        for (id, worker) in &mut self.workers {
            worker.reported_at = BootTime(0);
            if !self.machines.is_in_maintenance(id) {
                listed.push(worker.info.clone());
            }
        }
        next.workers_listed(listed, self.now);
        self.scheduler = next;
        self.list_waves();
    }

    /// Completes the write of a batch and begins the next one.
    fn write(&mut self) {
        if self.store_down {
            return;
        }
        if let Some(speeds) = self.scheduler.take_speed_record(self.now) {
            self.speeds = speeds;
        }
        if let Some(silent) = self.scheduler.take_silent_workers(self.now) {
            self.silent_workers = silent;
            self.scheduler.silent_workers_written();
        }
        if let Some(batch) = self.records.finish_write(self.now.boot) {
            for change in &batch.changes {
                if change.progress.state.is_final() {
                    let ended = self.ended_at.entry(change.job.clone());
                    ended.or_insert(self.now.wall);
                }
            }
            self.store_wave_records(&batch);
            self.scheduler.batch_committed(batch, self.now);
            let ended = self.scheduler.take_ended(MAX_BATCH_JOBS);
            let ids = ended.iter().map(|ended| ended.job.clone());
            self.records.archived.extend(ids);
            self.scheduler.jobs_archived(ended, self.now);
        }
        if self.records.writing.is_none()
            && let Some(batch) = self.scheduler.take_batch(MAX_BATCH_JOBS)
        {
            let records = u32::try_from(batch.changes.len()).unwrap_or(u32::MAX);
            let took = TICK.max(self.record_time.saturating_mul(records));
            self.records.writing = Some((self.now.boot.after(took), batch));
        }
    }
}
