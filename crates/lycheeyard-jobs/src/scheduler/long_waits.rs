use super::{JobEntry, JobScheduler, Now, RunPhase};
use crate::{BootTime, Resources, StepKey, StepRoom, StepWait, plan::SiteRoom};
use lycheeyard_protocol::{JobId, QueueId, ServiceId};
use std::{collections::BTreeMap, time::Duration};

/// A job of which nothing has run for this long is named in the logs if there is ample room for it anywhere.
const LONG_WAIT_BESIDE_ROOM: Duration = Duration::from_secs(2);
/// The same for any other job.
const LONG_WAIT: Duration = Duration::from_secs(3);
/// A job that still waits is named again after this.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// How many jobs are named at a time.
const MAX_NAMED: usize = 3;
/// For how many jobs the room is counted at a time. For each of them all workers are looked at, unless there is ample room. Those for which it
/// was counted longest ago come first, so that each of several hundred jobs has its turn in some seconds.
const MAX_EXAMINED: usize = 100;

/// An open job of which nothing runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleJob {
    /// When this was first seen.
    since: BootTime,
    /// It is not named in the logs before this.
    next_at: BootTime,
    /// When the room for it was last counted; `since` if never.
    examined_at: BootTime,
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
    /// The room for it at that moment on the workers and racks that its preferences allow.
    pub room: StepRoom,
    /// The room for it at that moment on any rack, workers in quarantine included.
    pub room_anywhere: StepRoom,
    /// The stored deadline that ends the wait, or after which it may end; `None` if no deadline does.
    pub ends_at: Option<BootTime>,
}

impl JobScheduler {
    /// Returns the steps of jobs of which nothing has run for long, with the reason, each job once in [`REPEAT_INTERVAL`]: first those beside
    /// ample room, then those that have waited longest. The driver calls it about once a second.
    pub fn take_long_waits(&mut self, now: Now) -> Vec<WaitingStep> {
        self.update_idle_jobs(now);
        let due = self.idle_jobs.iter();
        let mut due: Vec<_> = due
            .filter(|(_, idle)| idle.next_at.is_past(now.boot))
            .map(|(id, idle)| (idle.since, id.clone()))
            .collect();
        if due.is_empty() {
            return Vec::new();
        }
        let site = SiteRoom::new(self, now);
        let mut named = self.take_jobs_beside_room(&site, now);
        due.retain(|(since, _)| since.after(LONG_WAIT).is_past(now.boot));
        due.sort();
        for (_, id) in due {
            if named.len() < MAX_NAMED && !named.contains(&id) {
                named.push(id);
            }
        }
        let mut waiting = Vec::new();
        for id in named {
            let Some(idle) = self.idle_jobs.get_mut(&id) else {
                continue;
            };
            idle.next_at = now.boot.after(REPEAT_INTERVAL);
            let since = idle.since;
            waiting.extend(self.waiting_step(&id, since, &site, now));
        }
        waiting
    }

    /// Returns due jobs that have ample room anywhere, [`MAX_NAMED`] at most, of [`MAX_EXAMINED`] jobs.
    fn take_jobs_beside_room(&mut self, site: &SiteRoom, now: Now) -> Vec<JobId> {
        let due = self.idle_jobs.iter();
        let due = due.filter(|(_, idle)| idle.next_at.is_past(now.boot));
        let mut due: Vec<_> = due
            .map(|(id, idle)| (idle.examined_at, idle.since, id.clone()))
            .collect();
        due.sort();
        let mut beside_room = Vec::new();
        for (_, _, id) in due.into_iter().take(MAX_EXAMINED) {
            if beside_room.len() == MAX_NAMED {
                break;
            }
            if let Some(idle) = self.idle_jobs.get_mut(&id) {
                idle.examined_at = now.boot;
            }
            if self.is_beside_room(&id, site) {
                beside_room.push(id);
            }
        }
        beside_room
    }

    /// Whether there is ample room anywhere for the step of a job that the logs would name.
    fn is_beside_room(&self, id: &JobId, site: &SiteRoom) -> bool {
        let Some(entry) = self.jobs.get(id) else {
            return false;
        };
        let mut steps = entry.open_steps();
        let step = steps.find(|key| entry.is_turn_of(key));
        step.is_some_and(|key| self.has_ample_room_anywhere(entry, &key, site))
    }

    /// Notes which open jobs have nothing that runs, and since when.
    fn update_idle_jobs(&mut self, now: Now) {
        let mut former = std::mem::take(&mut self.idle_jobs);
        let idle = self.jobs.values().filter(|entry| self.is_idle(entry));
        let idle = idle.map(|entry| {
            let known = former.remove_entry(&entry.job.id);
            known.unwrap_or_else(|| {
                let since = now.boot;
                let idle = IdleJob {
                    since,
                    next_at: since.after(LONG_WAIT_BESIDE_ROOM),
                    examined_at: since,
                };
                (entry.job.id.clone(), idle)
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
        let site = SiteRoom::new(self, now);
        let entry = self.jobs.get(id).into_iter();
        let steps = entry.flat_map(|entry| entry.open_steps().map(move |key| (entry, key)));
        steps.filter_map(move |(entry, key)| {
            let wait = self.step_wait(entry, &key, &site, now)?;
            Some((key, wait))
        })
    }

    /// The first step of a job that could run by its order.
    fn waiting_step(
        &self,
        id: &JobId,
        since: BootTime,
        site: &SiteRoom,
        now: Now,
    ) -> Option<WaitingStep> {
        let entry = self.jobs.get(id)?;
        let key = entry.open_steps().find(|key| entry.is_turn_of(key))?;
        let wait = self.step_wait(entry, &key, site, now)?;
        Some(self.describe_wait(entry, &key, wait, since, site, now))
    }

    /// Returns what the logs say about a step that waits.
    pub(super) fn describe_wait(
        &self,
        entry: &JobEntry,
        step: &StepKey,
        wait: StepWait,
        since: BootTime,
        site: &SiteRoom,
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
            ends_at: self.wait_ends_at(entry, step, &wait, site, now),
            wait,
            room: self.step_room(entry, step, site, now),
            room_anywhere: self.room_anywhere(entry, step, site),
        }
    }
}
