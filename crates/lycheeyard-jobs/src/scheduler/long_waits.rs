use super::{JobEntry, JobScheduler, Now, RunPhase};
use crate::{BootTime, Resources, StepKey, StepRoom, StepWait};
use lycheeyard_protocol::{JobId, QueueId, ServiceId};
use std::{collections::BTreeMap, time::Duration};

/// A job of which nothing has run for this long is named in the logs.
const LONG_WAIT: Duration = Duration::from_secs(3);
/// A job that still waits is named again after this.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// How many jobs are named at a time.
const MAX_NAMED: usize = 3;

/// An open job of which nothing runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleJob {
    /// When this was first seen.
    since: BootTime,
    /// It is not named in the logs before this.
    next_at: BootTime,
}

/// A step whose turn has come while nothing of its job runs, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepKey,
    /// The queue of its job.
    pub queue: QueueId,
    /// The service whose workers run it.
    pub service: ServiceId,
    /// The number of its tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    pub demand: Resources,
    /// Since when nothing of its job is known to run.
    pub since: BootTime,
    /// What keeps it from starting.
    pub wait: StepWait,
    /// The room for it at that moment.
    pub room: StepRoom,
}

impl JobScheduler {
    /// Returns the steps of jobs of which nothing has run for long, with the reason: the jobs that have waited longest, each once in
    /// [`REPEAT_INTERVAL`]. The driver calls it about once a second.
    pub fn take_long_waits(&mut self, now: Now) -> Vec<WaitingStep> {
        self.update_idle_jobs(now);
        let due = self.idle_jobs.iter();
        let mut due: Vec<_> = due
            .filter(|(_, idle)| idle.next_at.is_past(now.boot))
            .map(|(id, idle)| (idle.since, id.clone()))
            .collect();
        due.sort();
        due.truncate(MAX_NAMED);
        let mut waiting = Vec::new();
        for (since, id) in due {
            if let Some(idle) = self.idle_jobs.get_mut(&id) {
                idle.next_at = now.boot.after(REPEAT_INTERVAL);
            }
            waiting.extend(self.waiting_step(&id, since, now));
        }
        waiting
    }

    /// Notes which open jobs have nothing that runs, and since when.
    fn update_idle_jobs(&mut self, now: Now) {
        let mut former = std::mem::take(&mut self.idle_jobs);
        let idle = self.jobs.values().filter(|entry| self.is_idle(entry));
        let idle = idle.map(|entry| {
            let known = former.remove_entry(&entry.job.id);
            known.unwrap_or_else(|| {
                let since = now.boot;
                let next_at = since.after(LONG_WAIT);
                (entry.job.id.clone(), IdleJob { since, next_at })
            })
        });
        let idle: BTreeMap<JobId, IdleJob> = idle.collect();
        self.idle_jobs = idle;
    }

    /// Notes that a run of a job has begun, which may end before the next look at the idle jobs.
    pub(super) fn end_idle_time(&mut self, id: &JobId) {
        self.idle_jobs.remove(id);
    }

    /// Whether a job has work that is due and nothing that runs.
    fn is_idle(&self, entry: &JobEntry) -> bool {
        if entry.progress.state.is_final() || entry.progress.open.is_empty() {
            return false;
        }
        let mut runs = self.runs_of_job(&entry.job.id);
        !runs.any(|(_, run)| run.phase == RunPhase::Present && run.stop_reason.is_none())
    }

    /// What keeps each step of a job from starting whose turn has come and that is not done, in the order of the steps.
    pub fn step_waits(&self, id: &JobId, now: Now) -> impl Iterator<Item = (StepKey, StepWait)> {
        let entry = self.jobs.get(id).into_iter();
        let steps = entry.flat_map(|entry| {
            let occurrences = entry.progress.open.keys();
            let keys = occurrences.flat_map(move |&occurrence| {
                let steps = 0..entry.job.steps.len();
                steps.map(move |step| entry.key(occurrence, step))
            });
            keys.map(move |key| (entry, key))
        });
        steps.filter_map(move |(entry, key)| {
            let wait = self.step_wait(entry, &key, now)?;
            Some((key, wait))
        })
    }

    /// The first step of a job that could run by its order.
    fn waiting_step(&self, id: &JobId, since: BootTime, now: Now) -> Option<WaitingStep> {
        let entry = self.jobs.get(id)?;
        let (step, wait) = self.step_waits(id, now).next()?;
        Some(self.describe_wait(entry, &step, wait, since, now))
    }

    /// Returns what the logs say about a step that waits.
    pub(super) fn describe_wait(
        &self,
        entry: &JobEntry,
        step: &StepKey,
        wait: StepWait,
        since: BootTime,
        now: Now,
    ) -> WaitingStep {
        let definition = &entry.job.steps[step.step];
        WaitingStep {
            queue: entry.job.queue.clone(),
            service: self.queue_policy(&entry.job).service.clone(),
            tasks: definition.tasks,
            demand: definition.demand,
            step: step.clone(),
            since,
            wait,
            room: self.step_room(entry, step, now),
        }
    }
}
