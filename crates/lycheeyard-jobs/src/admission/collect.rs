use super::{
    LevelUse, OrganisationQueue, QueueLoad, ServiceLoad, Work,
    exemption::{GUARANTEED_PRIORITY, has_objective},
};
use crate::{
    QueuePolicy, Resources, Step, StepProgress,
    plan::{USEFUL_OBJECTIVES, objective_ms},
    scheduler::{JobEntry, JobScheduler, Now},
};
use lycheeyard_protocol::{OrganisationId, ServiceId, Timestamp};
use std::collections::BTreeMap;

const FULL_PERCENT: u64 = 100;

/// What the unfinished part of a job adds to the load of its service.
#[derive(Debug, Default)]
struct JobLoad {
    work: Work,
    /// What its runs use, and whether tasks of it wait.
    level: LevelUse,
    /// Taken by its long-running tasks, those that wait included.
    taken: Resources,
    /// The accelerators of its tasks that are not done.
    accelerators: u32,
}

impl JobScheduler {
    /// Returns the accepted work that is not completed, by service, with the capacity that each service has now.
    #[must_use]
    pub fn service_loads(&self, now: Now) -> BTreeMap<ServiceId, ServiceLoad> {
        let mut loads: BTreeMap<ServiceId, ServiceLoad> = BTreeMap::new();
        for worker in self.workers.values() {
            let info = worker.info.as_ref();
            if let Some(info) = info.filter(|_| worker.accepts_runs(now.boot)) {
                let load = loads.entry(info.service.clone()).or_default();
                load.capacity = load.capacity.saturating_add(&info.capacity);
            }
        }
        let mut urgent: BTreeMap<OrganisationId, u32> = BTreeMap::new();
        let mut taken: BTreeMap<ServiceId, Resources> = BTreeMap::new();
        for entry in self.jobs.values() {
            if entry.progress.state.is_final() {
                continue;
            }
            let policy = self.queue_policy(&entry.job);
            let job_load = self.job_load(entry, policy, now.wall);
            let load = loads.entry(policy.service.clone()).or_default();
            self.add_job_load(load, entry, policy, &job_load);
            if policy.priority == GUARANTEED_PRIORITY {
                let needed = urgent.entry(entry.job.organisation.clone()).or_default();
                *needed = needed.saturating_add(job_load.accelerators);
            }
            if job_load.taken != Resources::default() {
                let taken = taken.entry(policy.service.clone()).or_default();
                *taken = taken.saturating_add(&job_load.taken);
            }
        }
        for (service, load) in &mut loads {
            let taken = taken.get(service).copied().unwrap_or_default();
            load.capacity = load.capacity.saturating_sub(&taken);
            for (of, queue) in &mut load.queues {
                let guarantee = self.policy.guarantees.get(&of.organisation);
                let needed = urgent.get(&of.organisation).copied().unwrap_or(0);
                queue.is_guaranteed = queue.priority == GUARANTEED_PRIORITY
                    && guarantee.is_some_and(|guarantee| needed <= *guarantee);
            }
        }
        loads
    }

    fn add_job_load(
        &self,
        load: &mut ServiceLoad,
        entry: &JobEntry,
        policy: &QueuePolicy,
        job_load: &JobLoad,
    ) {
        let job = &entry.job;
        let of = OrganisationQueue {
            queue: job.queue.clone(),
            organisation: job.organisation.clone(),
        };
        let queue = load.queues.entry(of).or_insert_with(|| QueueLoad {
            priority: policy.priority,
            weight: self.weight(&job.organisation),
            ..QueueLoad::default()
        });
        queue.work += job_load.work;
        if has_objective(job) {
            let run_ms = |step: &Step| self.run_times.corrected_ms(&job.queue, step.expected_ms);
            let limit = objective_ms(job, policy, run_ms).saturating_mul(USEFUL_OBJECTIVES);
            let longest = limit.saturating_sub(job.critical_path_ms(run_ms));
            queue.longest_wait_ms = queue.longest_wait_ms.max(Some(longest));
        }
        let level = load.levels.entry(policy.priority).or_default();
        level.used = level.used.saturating_add(&job_load.level.used);
        level.has_waiting_tasks |= job_load.level.has_waiting_tasks;
    }

    /// An organisation's share of the capacity is proportional to its guarantee.
    fn weight(&self, organisation: &OrganisationId) -> u32 {
        let guarantee = self.policy.guarantees.get(organisation);
        guarantee.copied().unwrap_or(0).max(1)
    }

    fn job_load(&self, entry: &JobEntry, policy: &QueuePolicy, now: Timestamp) -> JobLoad {
        let job = &entry.job;
        let run_ms = |step: &Step| self.run_times.corrected_ms(&job.queue, step.expected_ms);
        let limit_ms = objective_ms(job, policy, run_ms).saturating_mul(USEFUL_OBJECTIVES);
        let mut load = JobLoad::default();
        for (&occurrence, steps) in &entry.progress.open {
            let expires_at = Timestamp(job.due_at(occurrence).0.saturating_add(limit_ms));
            for (index, (step, progress)) in job.steps.iter().zip(steps).enumerate() {
                let open = progress.tasks.iter().filter(|task| !task.done).count();
                load.add_open_tasks(step, open);
                if open == 0 || step.long_running {
                    continue;
                }
                let expected_ms = run_ms(step);
                let path_ms = job.remaining_path_ms(index, run_ms);
                let is_useful = now.0.saturating_add(path_ms) <= expires_at.0;
                let waiting = waiting_tasks(progress);
                if is_useful && waiting > 0 {
                    load.level.has_waiting_tasks = true;
                    load.work += Work::new(&step.reserved(), waiting, expected_ms);
                }
                if waiting < open {
                    self.add_runs(&mut load, entry, occurrence, index, expected_ms);
                }
            }
        }
        load
    }

    /// Adds the runs of a step, with the work that they have not done yet.
    fn add_runs(
        &self,
        load: &mut JobLoad,
        entry: &JobEntry,
        occurrence: u32,
        step: usize,
        expected_ms: u64,
    ) {
        for (_, run) in self.runs_of(&entry.key(occurrence, step)) {
            let left = FULL_PERCENT.saturating_sub(u64::from(run.progress.0));
            let left_ms = expected_ms.saturating_mul(left) / FULL_PERCENT;
            load.work += Work::new(&run.demand, 1, left_ms);
            load.level.used = load.level.used.saturating_add(&run.demand);
        }
    }
}

impl JobLoad {
    fn add_open_tasks(&mut self, step: &Step, open: usize) {
        let open = u32::try_from(open).unwrap_or(u32::MAX);
        let accelerators = step.demand.accelerators.saturating_mul(open);
        self.accelerators = self.accelerators.saturating_add(accelerators);
        if step.long_running {
            let each = step.reserved();
            self.taken = self.taken.saturating_add(&Resources {
                cpu_milli: each.cpu_milli.saturating_mul(u64::from(open)),
                memory_mb: each.memory_mb.saturating_mul(u64::from(open)),
                accelerators,
            });
        }
    }
}

/// The number of tasks that are not done and have no run.
fn waiting_tasks(progress: &StepProgress) -> usize {
    let tasks = progress.tasks.iter();
    tasks
        .filter(|task| !task.done && task.placement.is_none())
        .count()
}
