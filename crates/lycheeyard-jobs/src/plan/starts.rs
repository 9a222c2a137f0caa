use super::{hosts::Hosts, unit::Unit};
use crate::{
    Checkpoint, Placement, RunNumber, TaskKey, WorkerKey,
    scheduler::{JobScheduler, Now, Run, RunPhase},
};
use lycheeyard_protocol::JobState;

impl JobScheduler {
    /// Records runs of a unit's tasks on hosts; they are ordered once the record is durable.
    pub(super) fn start_tasks(
        &mut self,
        unit: &Unit,
        tasks: &[(usize, usize)],
        hosts: &mut Hosts,
        now: Now,
    ) {
        let step = unit.step();
        let demand = step.reserved();
        let Some(gang_run) = self.next_run(unit, tasks) else {
            return;
        };
        for &(index, host) in tasks {
            hosts.take(host, &demand);
            let host = &hosts.rows()[host];
            let worker = host.key.clone();
            let is_near = host.is_near(step);
            let task = unit.key.task(index);
            let Some((number, checkpoint)) = self.record_start(&task, gang_run, &worker) else {
                continue;
            };
            let run = Run {
                is_from_scratch: checkpoint.is_none() && is_near,
                ..Run::new(
                    number,
                    worker,
                    step,
                    RunPhase::Planned,
                    checkpoint,
                    now.boot,
                )
            };
            self.hold_resources(&task, &run, now.boot);
            self.runs.insert(task.clone(), run);
            self.planned_starts.push((task, number));
        }
        self.dirty_jobs.insert(unit.key.job.clone());
    }

    /// The number of a gang's next run, which its members share.
    fn next_run(&self, unit: &Unit, tasks: &[(usize, usize)]) -> Option<RunNumber> {
        let progress = &self.jobs.get(&unit.key.job)?.progress;
        let numbers = tasks
            .iter()
            .filter_map(|(index, _)| progress.task(&unit.key.task(*index)));
        numbers.map(|task| RunNumber(task.run.0 + 1)).max()
    }

    fn record_start(
        &mut self,
        task: &TaskKey,
        gang_run: RunNumber,
        worker: &WorkerKey,
    ) -> Option<(RunNumber, Option<Checkpoint>)> {
        let entry = self.jobs.get_mut(&task.step.job)?;
        let is_gang = entry.job.steps.get(task.step.step)?.gang;
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
            RunNumber(progress.run.0 + 1)
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
