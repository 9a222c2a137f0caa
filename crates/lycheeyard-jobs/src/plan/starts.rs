use super::{hosts::Hosts, pending_step::PendingStep};
use crate::{
    Checkpoint, Placement, RunNumber, TaskKey, TaskProgress, WorkerKey,
    scheduler::{JobScheduler, Now, PlannedStarts, Run, RunPhase, StartUrgency},
};
use lycheeyard_protocol::{JobState, Timestamp};

impl JobScheduler {
    /// Records runs of a step's tasks on hosts. The start orders are sent once the record is durable.
    pub(super) fn start_tasks(
        &mut self,
        pending: &PendingStep,
        tasks: &[(usize, usize)],
        hosts: &mut Hosts,
        now: Now,
    ) {
        let step = pending.step();
        let demand = step.reserved();
        let tasks = self.recordable_part(pending, tasks);
        let Some(gang_run) = self.next_gang_run(pending, tasks) else {
            return;
        };
        let mut runs = Vec::with_capacity(tasks.len());
        for &(index, host) in tasks {
            hosts.allocate(host, &demand);
            let host = &hosts.with_quarantined()[host];
            let worker = host.key.clone();
            let is_local = host.is_local(step);
            let task = pending.key.task(index);
            let Some((number, checkpoint)) = self.record_start(&task, gang_run, &worker, now.wall)
            else {
                continue;
            };
            let run = Run {
                has_representative_run_time: checkpoint.is_none() && is_local,
                ..Run::new(
                    number,
                    worker,
                    step,
                    RunPhase::Planned,
                    checkpoint,
                    now.boot,
                )
            };
            self.allocate_resources(&task, &run, now.boot);
            self.runs.insert(task.clone(), run);
            runs.push((task, number));
        }
        self.plan_starts(pending, runs);
    }

    /// Returns the part of the tasks that the record of their job has room for; nothing of a gang that does not fit as a whole.
    fn recordable_part<'a>(
        &self,
        pending: &PendingStep,
        tasks: &'a [(usize, usize)],
    ) -> &'a [(usize, usize)] {
        let Some(entry) = self.jobs.get(&pending.key.job) else {
            return &[];
        };
        let is_begun = |index: usize| {
            let task = entry.progress.task(&pending.key.task(index));
            task.is_some_and(TaskProgress::is_begun)
        };
        let mut may_begin = entry.progress.tasks_that_may_begin();
        let has_room = |(index, _): &&(usize, usize)| {
            if is_begun(*index) {
                return true;
            }
            let has_room = may_begin > 0;
            may_begin = may_begin.saturating_sub(1);
            has_room
        };
        let part = &tasks[..tasks.iter().take_while(has_room).count()];
        if pending.is_gang() && part.len() < tasks.len() {
            return &[];
        }
        part
    }

    /// Lets runs start once the record of their job is durable.
    fn plan_starts(&mut self, pending: &PendingStep, runs: Vec<(TaskKey, RunNumber)>) {
        let urgency = match pending.priority {
            _ if pending.is_guaranteed => StartUrgency::Guaranteed,
            0 => StartUrgency::Urgent,
            _ => StartUrgency::Ordinary,
        };
        let id = &pending.key.job;
        let starts = self.planned_starts.entry(id.clone());
        let starts = starts.or_insert_with(|| PlannedStarts::new(urgency));
        starts.add(urgency, runs);
        self.dirty_jobs.insert(id.clone());
    }

    /// Returns the number of a gang's next run, which all its members share.
    fn next_gang_run(&self, pending: &PendingStep, tasks: &[(usize, usize)]) -> Option<RunNumber> {
        let progress = &self.jobs.get(&pending.key.job)?.progress;
        let numbers = tasks
            .iter()
            .filter_map(|(index, _)| progress.task(&pending.key.task(*index)));
        numbers.map(|task| task.run.next()).max()
    }

    fn record_start(
        &mut self,
        task: &TaskKey,
        gang_run: RunNumber,
        worker: &WorkerKey,
        now: Timestamp,
    ) -> Option<(RunNumber, Option<Checkpoint>)> {
        let entry = self.jobs.get_mut(&task.step.job)?;
        let is_gang = entry.job.steps.get(task.step.step)?.gang;
        entry.stages.placed_at.get_or_insert(now);
        if entry.progress.state == JobState::Queued {
            entry.progress.state = JobState::Running;
        }
        let step = entry
            .progress
            .step_mut(task.step.occurrence, task.step.step)?;
        let gang_checkpoint = step.gang_checkpoint.clone();
        let progress = step.tasks.get_mut(task.index)?;
        progress.run = if is_gang {
            gang_run
        } else {
            progress.run.next()
        };
        progress.placement = Some(Placement(worker.id.clone(), worker.incarnation));
        let checkpoint = if is_gang {
            gang_checkpoint
        } else {
            progress.checkpoint.clone()
        };
        Some((progress.run, checkpoint))
    }
}
