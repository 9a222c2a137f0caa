use super::{
    advisor::SimulatedAdvisor, checks::Violation, machines::SimulatedMachines, records::Records,
    worker::SimulatedWorker,
};
use lycheeyard_jobs::{
    BootTime, Job, JobScheduler, Now, Order, Progress, SchedulingPolicy, WorkerLimits,
};
use lycheeyard_protocol::{Epoch, JobId, JobState, Timestamp, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

pub(super) const STEP: Duration = Duration::from_millis(10);
const PLAN_EVERY: u64 = 450;

/// Something that happens to the whole site.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SiteFault {
    /// Another instance takes over; what was not durable is lost.
    Takeover,
    /// Nothing can be written until the outage is lifted.
    StoreDown,
    /// The outage is lifted.
    StoreUp,
}

/// An order that a worker carries out late.
#[derive(Clone, Debug)]
pub(super) struct LateOrder {
    pub order: Order,
    pub due_at: BootTime,
    pub sent_at: BootTime,
    /// The term that gave it.
    pub epoch: Epoch,
}

/// A scheduler and workers in virtual time, with checks of what the scheduler promises.
#[derive(Clone, Debug)]
pub struct SimulatedSite {
    /// The present.
    pub now: Now,
    /// The scheduler in its present term.
    pub scheduler: JobScheduler,
    /// The workers.
    pub workers: BTreeMap<WorkerId, SimulatedWorker>,
    /// How long the tasks of a step really take, where that is not the estimate.
    pub run_times: BTreeMap<(JobId, usize), Duration>,
    /// Tasks that always fail halfway.
    pub failing_jobs: BTreeSet<JobId>,
    /// The promises that were broken.
    pub violations: Vec<Violation>,
    /// Orders that found no room.
    pub refused_starts: usize,
    /// The work that was stopped and not saved, in weighted core-seconds.
    pub wasted_core_s: f64,
    /// When each job ended.
    pub ended_at: BTreeMap<JobId, Timestamp>,
    /// When each job's first task was started.
    pub begun_at: BTreeMap<JobId, Timestamp>,
    /// Decides which workers may run the steps of queues with advice.
    pub advisor: SimulatedAdvisor,
    /// The machines of the workers.
    pub machines: SimulatedMachines,
    pub(super) limits: WorkerLimits,
    pub(super) policy: SchedulingPolicy,
    pub(super) records: Records,
    pub(super) late: Vec<LateOrder>,
    pub(super) epoch: Epoch,
    pub(super) store_down: bool,
    /// How often members of gangs may wait in vain, since the test causes it.
    pub allows_missing_peers: bool,
}

impl SimulatedSite {
    /// Makes a site with the given workers.
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
            failing_jobs: BTreeSet::new(),
            violations: Vec::new(),
            refused_starts: 0,
            wasted_core_s: 0.0,
            ended_at: BTreeMap::new(),
            begun_at: BTreeMap::new(),
            advisor: SimulatedAdvisor::default(),
            machines: SimulatedMachines::default(),
            limits,
            policy,
            records: Records::default(),
            late: Vec::new(),
            epoch: Epoch(1),
            store_down: false,
            allows_missing_peers: false,
        };
        for worker in workers {
            site.add_worker(worker);
        }
        site
    }

    /// Adds a worker to the list.
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

    /// Makes something happen to the site.
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

    /// Lets time pass.
    pub fn advance(&mut self, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.step();
        }
    }

    /// Lets time pass until all jobs have ended; false if they have not by `limit`.
    pub fn settle(&mut self, limit: Duration) -> bool {
        let until = self.now.boot.after(limit);
        while !until.is_past(self.now.boot) {
            if self.records.jobs.keys().all(|id| self.state(id).is_final()) {
                return true;
            }
            self.step();
        }
        false
    }

    fn step(&mut self) {
        self.now.boot = self.now.boot.after(STEP);
        self.now.wall = self.now.wall.after(STEP);
        self.run_workers();
        self.carry_out_late();
        self.run_machines();
        self.deliver_reports();
        self.scheduler.tick(self.now);
        if self.now.boot.0 % PLAN_EVERY < u64::try_from(STEP.as_millis()).unwrap_or(1) {
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
        self.epoch = Epoch(self.epoch.0 + 1);
        self.records.writing = None;
        self.advisor.drop_call();
        let mut next = JobScheduler::new(self.limits, self.policy.clone(), self.now.boot);
        for (id, job) in &self.records.jobs {
            let progress = self.records.progress.get(id).cloned();
            next.add_job(Job::clone(job), progress, self.now);
        }
        for id in self.records.cancelled.keys() {
            next.cancel_job(id, self.now);
        }
        for (id, worker) in &mut self.workers {
            worker.reported_at = BootTime(0);
            if !self.machines.is_away(id) {
                next.worker_listed(worker.info.clone(), self.now);
            }
        }
        self.scheduler = next;
        self.list_waves();
    }

    /// Writes what is behind; a write takes until the next step.
    fn write(&mut self) {
        if self.store_down {
            return;
        }
        if let Some(batch) = self.records.finish_write(self.now.boot) {
            for change in &batch.changes {
                if change.progress.state.is_final() {
                    let ended = self.ended_at.entry(change.job.clone());
                    ended.or_insert(self.now.wall);
                }
            }
            self.note_waves(&batch);
            self.scheduler.batch_committed(batch, self.now);
        }
        if self.records.writing.is_none()
            && let Some(batch) = self.scheduler.take_batch()
        {
            self.records.writing = Some((self.now.boot.after(STEP), batch));
        }
    }
}
