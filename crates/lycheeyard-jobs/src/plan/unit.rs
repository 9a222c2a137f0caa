use super::permits::Permits;
use crate::{
    BootTime, Job, QueuePolicy, Step, StepKey,
    scheduler::{JobEntry, RunTimes},
};
use lycheeyard_protocol::{ServiceId, Timestamp, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// The tasks of a step that may start now.
#[derive(Clone, Debug)]
pub(super) struct Unit {
    pub key: StepKey,
    pub job: Arc<Job>,
    /// The positions of the tasks that wait.
    pub waiting: Vec<usize>,
    pub service: ServiceId,
    pub priority: u32,
    /// Whether the organisation's guarantee covers it.
    pub is_guaranteed: bool,
    /// How long one of its tasks is expected to run, in milliseconds.
    pub expected_ms: u64,
    /// When it must start so that the job can still be in time.
    pub start_by: Timestamp,
    /// When the job is of no use any more.
    pub useless_at: Timestamp,
    /// Workers on which tasks of this step failed.
    pub avoid: BTreeSet<WorkerId>,
    /// The workers that may run the step.
    pub permits: Permits,
    /// How many tasks of the step each worker has.
    pub on_worker: BTreeMap<WorkerId, u32>,
}

/// A job is late, but not yet useless, for this many times its objective.
const USELESS_AFTER_OBJECTIVES: u64 = 3;
/// A long-running task counts as work of this length at least, in milliseconds.
const LONG_RUN_MS: u64 = 60_000;

impl Unit {
    pub fn step(&self) -> &Step {
        &self.job.steps[self.key.step]
    }

    /// Whether the tasks start only all together.
    pub fn is_whole(&self) -> bool {
        self.step().gang
    }

    /// The fewest tasks that start at a time.
    pub fn least_tasks(&self) -> usize {
        if self.is_whole() {
            self.waiting.len()
        } else {
            1
        }
    }

    /// Whether its tasks run slower in some places.
    pub fn has_locality(&self) -> bool {
        let step = self.step();
        step.same_rack || step.data_rack.is_some()
    }

    /// Whether smaller work could keep it from ever fitting.
    pub fn needs_drain(&self) -> bool {
        self.is_whole() || self.step().demand.accelerators > 1
    }

    /// Whether the job can no longer be in time; a long-running one can always gain.
    pub fn is_late(&self, now: Timestamp) -> bool {
        !self.step().long_running && self.start_by.is_past(now)
    }

    /// Whether the job is of no use any more.
    pub fn is_useless(&self, now: Timestamp) -> bool {
        !self.step().long_running && !self.is_guaranteed && self.useless_at.is_past(now)
    }

    /// The accelerators that the waiting tasks need.
    pub fn accelerators(&self) -> u32 {
        let tasks = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.step().demand.accelerators.saturating_mul(tasks)
    }

    /// The work in thousandths of a core times milliseconds.
    pub fn work(&self) -> u64 {
        let tasks = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        let step = self.step();
        step.demand
            .weighted_cpu_milli()
            .saturating_mul(self.expected_ms)
            .saturating_mul(tasks)
    }

    /// The ready units of a job.
    pub fn of(
        entry: &JobEntry,
        policy: &QueuePolicy,
        times: &RunTimes,
        now: BootTime,
    ) -> Vec<Self> {
        let mut units = Vec::new();
        for (&occurrence, steps) in &entry.progress.open {
            for (number, step) in entry.job.steps.iter().enumerate() {
                let ready = step
                    .after
                    .iter()
                    .all(|&before| steps.get(before).is_some_and(crate::StepProgress::is_done));
                if !ready {
                    continue;
                }
                units.extend(Self::of_step(entry, occurrence, number, policy, times, now));
            }
        }
        units
    }

    /// What waits of one step, if it may start.
    pub fn of_step(
        entry: &JobEntry,
        occurrence: u32,
        number: usize,
        policy: &QueuePolicy,
        times: &RunTimes,
        now: BootTime,
    ) -> Option<Self> {
        let step = &entry.job.steps[number];
        let progress = entry.progress.open.get(&occurrence)?.get(number)?;
        let key = entry.key(occurrence, number);
        let tasks = progress.tasks.iter().enumerate();
        let waiting: Vec<usize> = tasks
            .filter(|(_, task)| !task.done && task.placement.is_none())
            .filter(|(index, _)| entry.may_start(&key, *index, now))
            .map(|(index, _)| index)
            .collect();
        let is_incomplete = step.gang && waiting.len() < progress.tasks.len();
        if waiting.is_empty() || is_incomplete {
            return None;
        }
        let mut on_worker = BTreeMap::new();
        for placement in progress
            .tasks
            .iter()
            .filter_map(|task| task.placement.as_ref())
        {
            *on_worker.entry(placement.0.clone()).or_insert(0) += 1;
        }
        let job = &entry.job;
        let due = job.due_at(occurrence);
        let correct = |step: &Step| times.correct(&job.queue, step.expected_ms);
        let objective = objective_ms(job, policy, correct);
        let chain = job.chain_ms(number, correct);
        Some(Self {
            avoid: entry.avoid.get(&key).cloned().unwrap_or_default(),
            key,
            job: job.clone(),
            waiting,
            service: policy.service.clone(),
            priority: policy.priority,
            is_guaranteed: false,
            expected_ms: if step.long_running {
                correct(step).max(LONG_RUN_MS)
            } else {
                correct(step)
            },
            start_by: Timestamp((due.0 + objective).saturating_sub(chain)),
            useless_at: Timestamp(due.0 + objective.saturating_mul(USELESS_AFTER_OBJECTIVES)),
            permits: Permits::Every,
            on_worker,
        })
    }
}

/// The time within which a job should be done, in milliseconds.
fn objective_ms(job: &Job, policy: &QueuePolicy, correct: impl Fn(&Step) -> u64 + Copy) -> u64 {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "run times are far below the limits of exact floats"
    )]
    let stretched = (job.longest_chain_ms(correct) as f64 * policy.stretch.max(0.0)) as u64;
    stretched.saturating_add(policy.target_latency_ms)
}
