use super::{
    AdviceCache, ArrivalRate, DirtyJobs, EndedJobs, FirstStart, GuaranteedWait, HopelessJob,
    IdleJob, IncarnationChange, JobEntry, MaintenanceOrder, Order, OtherIncarnations,
    PlannedStarts, Run, RunTimeEstimator, SilentRecord, UndurableEnds, WithheldEnds, WorkerCrash,
    WorkerEntry, WorkerSpeeds, incarnations::MAX_ORDER_DELAY,
};
use crate::{
    BootTime, MachineInfo, SchedulingPolicy, Step, StepKey, TaskKey, WaveNumber, WaveProgress,
    WorkerKey, WorkerLimits, maintenance::WaveEntry, plan::Reservation,
};
use lycheeyard_protocol::{DataCentreId, JobId, MachineId, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A worker's clock may run slow by up to this many percent.
const CLOCK_ERROR_PERCENT: u32 = 2;

/// Margin added to a lease before it counts as expired.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// The state of the jobs, workers and maintenance waves during one term, and the scheduling decisions made from it.
#[derive(Clone, Debug)]
pub struct JobScheduler {
    pub(crate) limits: WorkerLimits,
    pub(crate) policy: SchedulingPolicy,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) workers: BTreeMap<WorkerId, WorkerEntry>,
    /// Whether the list of workers has been read in this term.
    pub(crate) has_worker_list: bool,
    /// The incarnations of workers other than the present ones. They are kept longer than the workers' entries, since a late listing
    /// of a former incarnation would otherwise count as a restart of one that came after it.
    pub(crate) other_incarnations: BTreeMap<WorkerId, OtherIncarnations>,
    pub(crate) reservations: BTreeMap<StepKey, Reservation>,
    /// Data centres whose workers receive no new runs.
    pub(crate) evacuated_data_centres: BTreeSet<DataCentreId>,
    /// The workers that the last planning round drained, by the step that did not fit.
    pub(crate) drained_workers: BTreeMap<StepKey, BTreeSet<WorkerId>>,
    pub(crate) waves: BTreeMap<WaveNumber, WaveEntry>,
    /// Stored progress of waves that have not been listed in this term.
    pub(crate) wave_records: BTreeMap<WaveNumber, WaveProgress>,
    /// Waves whose progress has changed since it was last taken for writing.
    pub(crate) dirty_waves: BTreeSet<WaveNumber>,
    /// Orders to the platform whose records are already durable.
    pub(crate) maintenance_orders: Vec<MaintenanceOrder>,
    /// The machines from the most recent list; they are listed only while a wave is open.
    pub(crate) machines: BTreeMap<MachineId, MachineInfo>,
    /// Cached decisions of the advisor.
    pub(crate) advice: AdviceCache,
    pub(crate) run_times: RunTimeEstimator,
    pub(crate) urgent_arrivals: ArrivalRate,
    /// Jobs that a listing of the store named and that have not been added yet.
    pub(crate) missing_jobs: Vec<JobId>,
    /// Jobs that are not added in this term.
    pub(crate) jobs_set_aside: BTreeSet<JobId>,
    /// The run ends of these jobs.
    pub(crate) withheld_ends: WithheldEnds,
    /// Run ends that are recorded in the jobs' progress in memory only.
    pub(crate) undurable_ends: UndurableEnds,
    /// Cancellations of jobs that have not been added yet.
    pub(crate) pending_cancellations: BTreeSet<JobId>,
    /// Jobs whose progress has changed since it was last taken for writing.
    pub(crate) dirty_jobs: DirtyJobs,
    pub(crate) ended_jobs: EndedJobs,
    /// Runs that may be started once their records are durable.
    pub(crate) planned_starts: BTreeMap<JobId, PlannedStarts>,
    /// Jobs whose first start orders were issued and that have not been taken for logs.
    pub(crate) first_starts: Vec<FirstStart>,
    /// Jobs that cannot be done while their results are of use and that have not been taken for logs.
    pub(crate) hopeless_jobs: Vec<HopelessJob>,
    /// Open jobs of which nothing runs, for logs.
    pub(crate) idle_jobs: BTreeMap<JobId, IdleJob>,
    /// Steps that waited in the last planning round inside their organisations' guarantees.
    pub(crate) guaranteed_waits: BTreeMap<StepKey, GuaranteedWait>,
    /// Runs during which workers crashed and that have not been taken for logs.
    pub(crate) worker_crashes: Vec<WorkerCrash>,
    /// Changes of the incarnations of workers that have not been taken for logs.
    pub(crate) incarnation_changes: Vec<IncarnationChange>,
    /// Orders that do not have to wait for a record.
    pub(crate) orders: Vec<Order>,
    pub(crate) speeds: WorkerSpeeds,
    /// Whether something has changed since the last planning round that may allow other placements.
    pub(crate) plan_due: bool,
    /// Until when the previous scheduling instance may extend leases.
    pub(crate) predecessor_until: BootTime,
    /// When every lease that the previous scheduling instance may have extended has certainly expired.
    pub(crate) inherited_lease_until: BootTime,
    /// When no copy of a start order of a previous scheduling instance is carried out any more.
    pub(crate) inherited_copies_until: BootTime,
    /// The stored record of workers that do not answer.
    pub(crate) silent_record: SilentRecord,
}

impl JobScheduler {
    /// Creates a scheduler at the start of a term.
    ///
    /// The previous scheduling instance may extend worker leases until `predecessor_until`.
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
            has_worker_list: false,
            other_incarnations: BTreeMap::new(),
            reservations: BTreeMap::new(),
            evacuated_data_centres: BTreeSet::new(),
            drained_workers: BTreeMap::new(),
            waves: BTreeMap::new(),
            wave_records: BTreeMap::new(),
            dirty_waves: BTreeSet::new(),
            maintenance_orders: Vec::new(),
            machines: BTreeMap::new(),
            advice: AdviceCache::default(),
            run_times: RunTimeEstimator::default(),
            urgent_arrivals: ArrivalRate::default(),
            missing_jobs: Vec::new(),
            jobs_set_aside: BTreeSet::new(),
            withheld_ends: WithheldEnds::default(),
            undurable_ends: UndurableEnds::default(),
            pending_cancellations: BTreeSet::new(),
            dirty_jobs: DirtyJobs::default(),
            ended_jobs: EndedJobs::default(),
            planned_starts: BTreeMap::new(),
            first_starts: Vec::new(),
            hopeless_jobs: Vec::new(),
            idle_jobs: BTreeMap::new(),
            guaranteed_waits: BTreeMap::new(),
            worker_crashes: Vec::new(),
            incarnation_changes: Vec::new(),
            orders: Vec::new(),
            speeds: WorkerSpeeds::default(),
            plan_due: true,
            predecessor_until,
            inherited_lease_until: lease_end(&limits, predecessor_until),
            inherited_copies_until: predecessor_until.after(MAX_ORDER_DELAY),
            silent_record: SilentRecord::default(),
        }
    }

    /// Applies a new configuration.
    ///
    /// Queues that it no longer has keep their last policy for the jobs that they accepted.
    pub fn set_policy(&mut self, policy: SchedulingPolicy) {
        let mut queues = std::mem::take(&mut self.policy.queues);
        queues.extend(policy.queues);
        self.policy = SchedulingPolicy { queues, ..policy };
        self.plan_due = true;
    }

    /// When a lease that was extended by a request sent at `sent_at` has certainly expired.
    pub(crate) fn lease_end(&self, sent_at: BootTime) -> BootTime {
        lease_end(&self.limits, sent_at)
    }

    /// The definition of a step.
    pub(crate) fn step(&self, key: &StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.job.steps.get(key.step)
    }

    /// The runs of a step's tasks.
    pub(crate) fn runs_of(&self, key: &StepKey) -> impl Iterator<Item = (&TaskKey, &Run)> {
        let runs = self.runs.range(key.task(0)..);
        runs.take_while(move |(task, _)| task.step == *key)
    }

    /// The runs of a job's tasks.
    pub(crate) fn runs_of_job<'a>(
        &'a self,
        job: &'a JobId,
    ) -> impl Iterator<Item = (&'a TaskKey, &'a Run)> {
        let first = StepKey {
            job: job.clone(),
            occurrence: 0,
            step: 0,
        };
        let runs = self.runs.range(first.task(0)..);
        runs.take_while(move |(task, _)| task.step.job == *job)
    }

    /// The entry of a worker, if its recorded incarnation is the one in `key`.
    pub(crate) fn worker_mut(&mut self, key: &WorkerKey) -> Option<&mut WorkerEntry> {
        self.workers
            .get_mut(&key.id)
            .filter(|entry| entry.key == *key)
    }
}

fn lease_end(limits: &WorkerLimits, sent_at: BootTime) -> BootTime {
    lease_over(sent_at, sent_at.after(limits.max_lease))
}

/// When a lease until `until` that was extended at `sent_at` has certainly expired, whatever the clock of the worker.
pub(super) fn lease_over(sent_at: BootTime, until: BootTime) -> BootTime {
    let clock_error = until.since(sent_at) * CLOCK_ERROR_PERCENT / 100;
    until.after(clock_error + LEASE_MARGIN)
}
