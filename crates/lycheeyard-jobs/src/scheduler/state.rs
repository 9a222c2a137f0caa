use super::{
    AdviceBook, Arrivals, JobEntry, MaintenanceOrder, Order, Run, RunTimeEstimator, WorkerEntry,
};
use crate::{
    BootTime, MachineInfo, RunNumber, SchedulingPolicy, Step, StepKey, TaskKey, WaveNumber,
    WaveProgress, WorkerKey, WorkerLimits, maintenance::WaveEntry, plan::Reservation,
};
use lycheeyard_protocol::{JobId, MachineId, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A worker's clock may be this many hundredths slow.
const CLOCK_ERROR_PERCENT: u32 = 2;

/// Added to a lease before it counts as ended.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// What the scheduling instance believes, and the decisions that follow.
#[derive(Clone, Debug)]
pub struct JobScheduler {
    pub(crate) limits: WorkerLimits,
    pub(crate) policy: SchedulingPolicy,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) workers: BTreeMap<WorkerId, WorkerEntry>,
    pub(crate) reservations: BTreeMap<StepKey, Reservation>,
    /// The workers that are kept for steps that do not fit yet.
    pub(crate) drains: BTreeMap<StepKey, BTreeSet<WorkerId>>,
    pub(crate) waves: BTreeMap<WaveNumber, WaveEntry>,
    /// The records of waves that have not been listed in this term.
    pub(crate) wave_records: BTreeMap<WaveNumber, WaveProgress>,
    /// Waves whose record is behind.
    pub(crate) dirty_waves: BTreeSet<WaveNumber>,
    /// Orders to the platform that need no further record.
    pub(crate) maintenance_orders: Vec<MaintenanceOrder>,
    /// The machines as they were listed last; listed only while a wave is open.
    pub(crate) machines: BTreeMap<MachineId, MachineInfo>,
    /// What the advisor has said.
    pub(crate) advice: AdviceBook,
    pub(crate) run_times: RunTimeEstimator,
    pub(crate) urgent_arrivals: Arrivals,
    /// Cancellations that came before their jobs.
    pub(crate) pending_cancellations: BTreeSet<JobId>,
    /// Jobs whose record is behind.
    pub(crate) dirty_jobs: BTreeSet<JobId>,
    /// Runs that may be started once their record is durable.
    pub(crate) planned_starts: Vec<(TaskKey, RunNumber)>,
    /// Orders that need no record.
    pub(crate) orders: Vec<Order>,
    /// When the workers were compared last.
    pub(crate) compared_at: BootTime,
    /// Whether something has changed that a plan could use.
    pub(crate) plan_due: bool,
    /// How long after its term the previous holder may still extend leases.
    pub(crate) inherited_lease_until: BootTime,
}

impl JobScheduler {
    /// Makes a scheduler at the start of a term.
    ///
    /// An earlier holder may extend leases until `predecessor_until`.
    #[must_use]
    pub fn new(
        limits: WorkerLimits,
        policy: SchedulingPolicy,
        predecessor_until: BootTime,
    ) -> Self {
        Self {
            limits,
            policy,
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            workers: BTreeMap::new(),
            reservations: BTreeMap::new(),
            drains: BTreeMap::new(),
            waves: BTreeMap::new(),
            wave_records: BTreeMap::new(),
            dirty_waves: BTreeSet::new(),
            maintenance_orders: Vec::new(),
            machines: BTreeMap::new(),
            advice: AdviceBook::default(),
            run_times: RunTimeEstimator::default(),
            urgent_arrivals: Arrivals::default(),
            pending_cancellations: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            planned_starts: Vec::new(),
            orders: Vec::new(),
            compared_at: BootTime(0),
            plan_due: true,
            inherited_lease_until: lease_end(&limits, predecessor_until),
        }
    }

    /// Follows a new configuration. Queues that are gone keep their last policy for the jobs they took.
    pub fn set_policy(&mut self, policy: SchedulingPolicy) {
        let mut queues = std::mem::take(&mut self.policy.queues);
        queues.extend(policy.queues);
        self.policy = SchedulingPolicy { queues, ..policy };
        self.plan_due = true;
    }

    /// When a lease that was extended at `sent_at` has surely ended.
    pub(crate) fn lease_end(&self, sent_at: BootTime) -> BootTime {
        lease_end(&self.limits, sent_at)
    }

    /// The description of a step.
    pub(crate) fn step(&self, key: &StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.job.steps.get(key.step)
    }

    /// The runs of a step's tasks.
    pub(crate) fn runs_of(&self, key: &StepKey) -> impl Iterator<Item = (&TaskKey, &Run)> {
        let runs = self.runs.range(key.task(0)..);
        runs.take_while(move |(task, _)| task.step == *key)
    }

    /// The entry of a worker's life, if that life is the one that is known.
    pub(crate) fn worker_mut(&mut self, key: &WorkerKey) -> Option<&mut WorkerEntry> {
        self.workers
            .get_mut(&key.id)
            .filter(|entry| entry.key == *key)
    }
}

fn lease_end(limits: &WorkerLimits, sent_at: BootTime) -> BootTime {
    let error = limits.max_lease * CLOCK_ERROR_PERCENT / 100;
    sent_at.after(limits.max_lease + error + LEASE_MARGIN)
}
