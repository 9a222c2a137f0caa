use super::{JobEntry, JobScheduler, Now, Run, RunPhase, StopReason};
use crate::{BootTime, Job, Progress, QueuePolicy, TaskKey};
use lycheeyard_protocol::{JobId, JobState};
use std::sync::Arc;

impl JobScheduler {
    /// Sets a job aside that has begun and whose progress is unknown: it is not added in this term, whatever names it.
    pub fn set_job_aside(&mut self, id: JobId) {
        self.jobs_set_aside.insert(id);
    }

    /// Adds a job, with its progress if there is a record of it. Does nothing if the job has been added already or is set aside.
    pub fn add_job(&mut self, job: Job, progress: Option<Progress>, now: Now) {
        if self.is_known(&job.id) {
            return;
        }
        if progress.as_ref().is_some_and(Progress::is_settled) {
            self.ended_jobs.add_durable(job.id.clone());
        }
        if progress.is_none() && self.queue_policy(&job).priority == 0 {
            let first = job.steps.first();
            let accelerators = first.map_or(0, |step| {
                step.tasks.saturating_mul(step.demand.accelerators)
            });
            self.urgent_arrivals.record(accelerators, now.boot);
        }
        let mut entry = JobEntry::new(Arc::new(job), progress);
        entry.stages.added_at = now.wall;
        let placed = entry.placed_tasks();
        let id = entry.job.id.clone();
        self.jobs.insert(id.clone(), entry);
        for task in placed {
            self.inherit_run(&task, now.boot);
        }
        if let Some(entry) = self.jobs.get_mut(&id)
            && !entry.progress.state.is_final()
        {
            entry.progress.open_due(&entry.job, now.wall);
        }
        self.stop_runs_unless_succeeded(&id, now.boot);
        if self.pending_cancellations.remove(&id) {
            self.cancel_job(&id, now);
        }
        self.plan_due = true;
    }

    /// Notes jobs that are in the store; those that have not been added have to be read.
    pub fn requests_listed(&mut self, ids: Vec<JobId>) {
        let missing = ids.into_iter().filter(|id| !self.is_known(id));
        let missing: Vec<JobId> = missing.collect();
        self.missing_jobs.extend(missing);
    }

    /// Whether a job has been added, also if it is archived by now, or is set aside. What names it again, for example a listing
    /// of the store that took long, must not start it again.
    fn is_known(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
            || self.ended_jobs.is_archived(id)
            || self.jobs_set_aside.contains(id)
    }

    /// Takes the listed jobs that were not known when they were listed.
    pub fn take_missing_jobs(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.missing_jobs)
    }

    /// Cancels a job whose cancellation is durable.
    ///
    /// A job that has ended keeps its state. A job that has not been added yet is cancelled when it is added.
    pub fn cancel_job(&mut self, id: &JobId, now: Now) {
        if self.ended_jobs.is_archived(id) {
            return;
        }
        if !self.jobs.contains_key(id) {
            self.pending_cancellations.insert(id.clone());
            return;
        }
        self.end_job(id, JobState::Cancelled, now);
    }

    /// The policy of a job's queue, or the policy at its submission if the configuration no longer has the queue.
    pub(crate) fn queue_policy<'a>(&'a self, job: &'a Job) -> &'a QueuePolicy {
        self.policy.queues.get(&job.queue).unwrap_or(&job.policy)
    }

    /// Ends a job as failed whose record the store will never take, and drops what the record holds, so that it can be written.
    pub fn record_rejected(&mut self, id: &JobId, now: Now) {
        self.end_job(id, JobState::Failed, now);
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        // A record without open occurrences is as small as it can be; writing it again would change nothing.
        if entry.progress.open.is_empty() {
            return;
        }
        // The rejected record may have been the first, which removes the mark that the job is waiting.
        entry.has_record = false;
        entry.progress.open.clear();
        entry.progress.opened = entry.job.occurrences();
        self.dirty_jobs.insert(id.clone());
    }

    /// Moves a job that has not ended to a final state, and stops its runs unless it has succeeded.
    pub(crate) fn end_job(&mut self, id: &JobId, state: JobState, now: Now) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if entry.progress.state.is_final() {
            return;
        }
        entry.progress.state = state;
        entry.progress.ended_at = Some(now.wall);
        self.dirty_jobs.insert(id.clone());
        self.reservations.retain(|step, _| step.job != *id);
        self.advice.remove_job(id);
        self.stop_runs_unless_succeeded(id, now.boot);
    }

    /// Stops the runs of a job that has failed or was cancelled.
    fn stop_runs_unless_succeeded(&mut self, id: &JobId, now: BootTime) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let state = entry.progress.state;
        if !state.is_final() || state == JobState::Succeeded {
            return;
        }
        for task in entry.placed_tasks() {
            self.request_stop(&task, StopReason::JobEnded, now);
        }
    }

    /// Adds a run that the record names and that a previous scheduling instance may have started.
    fn inherit_run(&mut self, task: &TaskKey, now: BootTime) {
        let Some(entry) = self.jobs.get(&task.step.job) else {
            return;
        };
        let Some(step) = entry.job.steps.get(task.step.step) else {
            return;
        };
        let Some(progress) = entry.progress.task(task) else {
            return;
        };
        let Some(placement) = &progress.placement else {
            return;
        };
        let mut run = Run::new(
            progress.run,
            placement.worker(),
            step,
            RunPhase::Inherited,
            progress.checkpoint.clone(),
            now,
        );
        run.may_have_crashed_worker = progress.has_begun;
        if !progress.is_answered {
            run.copies_until = self.inherited_copies_until(&run.worker);
        }
        self.allocate_resources(task, &run, now);
        self.note_inherited_run(&run.worker, now);
        self.runs.insert(task.clone(), run);
    }
}
