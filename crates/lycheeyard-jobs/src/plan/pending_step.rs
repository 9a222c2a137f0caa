use super::permits::Permits;
use crate::{
    BootTime, Job, QueuePolicy, Step, StepKey, StepProgress,
    scheduler::{JobEntry, RunTimeEstimator},
};
use lycheeyard_protocol::{ServiceId, Timestamp, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// The tasks of one step that are ready to start and have no worker yet.
#[derive(Clone, Debug)]
pub(super) struct PendingStep {
    pub key: StepKey,
    pub job: Arc<Job>,
    /// The positions of these tasks in the step.
    pub tasks: Vec<usize>,
    pub service: ServiceId,
    pub priority: u32,
    /// Whether the organisation's guarantee covers the tasks.
    pub is_guaranteed: bool,
    /// The expected run time of one task, in milliseconds.
    pub expected_ms: u64,
    /// The latest start at which the job can still meet its objective.
    pub start_by: Timestamp,
    /// The latest start at which the result of the job can still be of use.
    pub useful_start_by: Timestamp,
    /// The time from the due time within which the job should be done, in milliseconds.
    pub objective_ms: u64,
    /// Workers on which tasks of this step failed; they are the least preferred.
    pub avoided_workers: BTreeSet<WorkerId>,
    /// Whether tasks may run on those of them that are in quarantine.
    pub uses_avoided_workers: bool,
    /// Whether workers without runs are preferred, because a worker crashed when one of the tasks had just started.
    pub prefers_idle_workers: bool,
    /// The workers that may run the step.
    pub permits: Permits,
    /// The number of tasks of the step that each worker already runs.
    pub tasks_per_worker: BTreeMap<WorkerId, u32>,
}

/// The result of a job is of no use once this many times its objective has passed since it was due.
pub(crate) const USEFUL_OBJECTIVES: u64 = 3;
/// The minimum expected run time of a long-running task, in milliseconds.
const MIN_LONG_RUNNING_MS: u64 = 60_000;

impl PendingStep {
    pub fn step(&self) -> &Step {
        &self.job.steps[self.key.step]
    }

    /// Whether the tasks must start together.
    pub fn is_gang(&self) -> bool {
        self.step().gang
    }

    /// The smallest number of tasks that may start together.
    pub fn min_tasks(&self) -> usize {
        if self.is_gang() { self.tasks.len() } else { 1 }
    }

    /// Whether the tasks may run only where guaranteed steps need no room: they last, cannot all be stopped, and are not covered by a
    /// guarantee themselves.
    pub fn needs_lasting_room(&self) -> bool {
        let step = self.step();
        step.long_running && step.max_unavailable.is_some() && !self.is_guaranteed
    }

    /// Whether the tasks are to run where guaranteed steps need no room, if they fit there: they last, and guaranteed steps may not stop all
    /// of them.
    pub fn prefers_lasting_room(&self) -> bool {
        let step = self.step();
        step.long_running && (step.max_unavailable.is_some() || self.is_guaranteed)
    }

    /// Whether the speed of the tasks depends on the rack.
    pub fn has_locality(&self) -> bool {
        let step = self.step();
        step.same_rack || step.data_rack.is_some()
    }

    /// The same tasks without requirements on the rack.
    pub fn on_any_rack(&self) -> Self {
        let mut job = Job::clone(&self.job);
        let step = &mut job.steps[self.key.step];
        step.same_rack = false;
        step.data_rack = None;
        Self {
            job: Arc::new(job),
            ..self.clone()
        }
    }

    /// Whether smaller tasks could take all room as it becomes free, so that hosts have to be drained for the step.
    pub fn needs_drain(&self) -> bool {
        self.is_gang() || self.step().demand.accelerators > 1
    }

    /// Whether the job can no longer meet its objective; never true for a long-running step, which always gains
    /// from an earlier start.
    pub fn is_late(&self, now: Timestamp) -> bool {
        !self.step().long_running && self.start_by.is_past(now)
    }

    /// Whether the job cannot be done while its result is of use; never true for long-running or guaranteed steps.
    pub fn is_hopeless(&self, now: Timestamp) -> bool {
        !self.step().long_running && !self.is_guaranteed && self.useful_start_by.is_past(now)
    }

    /// The time since the job was due, in thousandths of its objective.
    pub fn relative_age(&self, now: Timestamp) -> u64 {
        let due = self.job.due_at(self.key.occurrence);
        self.in_objectives(now.since(due))
    }

    /// The time until the latest start at which the job can still meet its objective, in thousandths of its objective.
    pub fn relative_slack(&self, now: Timestamp) -> u64 {
        self.in_objectives(self.start_by.since(now))
    }

    fn in_objectives(&self, time: Duration) -> u64 {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        millis.saturating_mul(1000) / self.objective_ms.max(1)
    }

    /// The accelerators that all the waiting tasks need.
    pub fn accelerators(&self) -> u32 {
        let tasks = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
        self.step().demand.accelerators.saturating_mul(tasks)
    }

    /// The expected work of all the waiting tasks, in thousandths of a core times milliseconds.
    pub fn work(&self) -> u64 {
        let tasks = u64::try_from(self.tasks.len()).unwrap_or(u64::MAX);
        let step = self.step();
        step.demand
            .weighted_cpu_milli()
            .saturating_mul(self.expected_ms)
            .saturating_mul(tasks)
    }

    /// Returns the steps of a job that are ready to start tasks.
    pub fn for_job(
        entry: &JobEntry,
        policy: &QueuePolicy,
        times: &RunTimeEstimator,
        now: BootTime,
    ) -> Vec<Self> {
        let may_begin = entry.progress.tasks_that_may_begin();
        let mut pending_steps = Vec::new();
        for (&occurrence, steps) in &entry.progress.open {
            for (step_index, step) in entry.job.steps.iter().enumerate() {
                let ready = step
                    .after
                    .iter()
                    .all(|before| steps.get(before).is_some_and(StepProgress::is_done));
                if !ready {
                    continue;
                }
                let key = entry.key(occurrence, step_index);
                pending_steps.extend(Self::for_step(entry, key, may_begin, policy, times, now));
            }
        }
        pending_steps
    }

    /// Returns the waiting tasks of one step, at most `may_begin` of them for the first time; `None` if there are none, or if not all
    /// members of a gang wait.
    pub fn for_step(
        entry: &JobEntry,
        key: StepKey,
        may_begin: usize,
        policy: &QueuePolicy,
        times: &RunTimeEstimator,
        now: BootTime,
    ) -> Option<Self> {
        let (occurrence, step_index) = (key.occurrence, key.step);
        let step = &entry.job.steps[step_index];
        let progress = entry.progress.open.get(&occurrence)?.get(step_index)?;
        let waiting = waiting_tasks(entry, &key, progress, may_begin, now);
        let is_incomplete = step.gang && waiting.len() < progress.tasks.len();
        if waiting.is_empty() || is_incomplete {
            return None;
        }
        let mut tasks_per_worker = BTreeMap::new();
        for placement in progress
            .tasks
            .iter()
            .filter_map(|task| task.placement.as_ref())
        {
            *tasks_per_worker.entry(placement.0.clone()).or_insert(0) += 1;
        }
        let job = &entry.job;
        let due = job.due_at(occurrence);
        let corrected_ms = |step: &Step| times.corrected_ms(&job.queue, step.expected_ms);
        let objective = objective_ms(job, policy, corrected_ms);
        let remaining_path = job.remaining_path_ms(step_index, corrected_ms);
        Some(Self {
            prefers_idle_workers: entry.prefers_idle_workers(&key, &waiting),
            avoided_workers: entry.avoided_workers.get(&key).cloned().unwrap_or_default(),
            uses_avoided_workers: false,
            key,
            job: job.clone(),
            tasks: waiting,
            service: policy.service.clone(),
            priority: policy.priority,
            is_guaranteed: false,
            expected_ms: if step.long_running {
                corrected_ms(step).max(MIN_LONG_RUNNING_MS)
            } else {
                corrected_ms(step)
            },
            start_by: latest_start(due, objective, remaining_path),
            useful_start_by: latest_start(
                due,
                objective.saturating_mul(USEFUL_OBJECTIVES),
                remaining_path,
            ),
            objective_ms: objective,
            permits: Permits::All,
            tasks_per_worker,
        })
    }
}

/// Returns the positions of the waiting tasks of a step that may start, at most `may_begin` of them for the first time.
fn waiting_tasks(
    entry: &JobEntry,
    key: &StepKey,
    progress: &StepProgress,
    may_begin: usize,
    now: BootTime,
) -> Vec<usize> {
    let tasks = progress.tasks.iter().enumerate();
    let mut waiting: Vec<usize> = Vec::new();
    let mut may_begin = may_begin;
    for (index, task) in tasks {
        if task.done || task.placement.is_some() || !entry.may_start(key, index, now) {
            continue;
        }
        if !task.is_begun() {
            if may_begin == 0 {
                continue;
            }
            may_begin -= 1;
        }
        waiting.push(index);
    }
    waiting
}

/// The latest start of a path of `path_ms` that ends within `limit_ms` after `due`.
fn latest_start(due: Timestamp, limit_ms: u64, path_ms: u64) -> Timestamp {
    let end = due.after(Duration::from_millis(limit_ms));
    Timestamp(end.0.saturating_sub(path_ms))
}

/// The time from the due time of an occurrence within which it should be done, in milliseconds.
pub(crate) fn objective_ms(job: &Job, policy: &QueuePolicy, run_ms: impl Fn(&Step) -> u64) -> u64 {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "run times are far below 2^53 ms, so they are exact as f64"
    )]
    let stretched = (job.critical_path_ms(run_ms) as f64 * policy.stretch.max(0.0)) as u64;
    stretched.saturating_add(policy.target_latency_ms)
}
