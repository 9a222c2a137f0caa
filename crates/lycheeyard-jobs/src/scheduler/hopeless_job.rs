use super::JobScheduler;
use crate::StepKey;
use lycheeyard_protocol::{JobId, OrganisationId, Timestamp};

/// A job that cannot be done while its result is of use, for logs. It is served after all others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HopelessJob {
    /// The job.
    pub job: JobId,
    /// The organisation that owns it.
    pub organisation: OrganisationId,
    /// The priority of its queue.
    pub priority: u32,
    /// When it was submitted, on the clock of the instance that accepted it.
    pub submitted_at: Timestamp,
    /// The step that cannot be done in time.
    pub step: StepKey,
    /// Whether some of its tasks have been placed in this term.
    pub is_placed: bool,
}

impl JobScheduler {
    /// Takes the jobs that were found to be hopeless since the last call; each job once in a term.
    pub fn take_hopeless_jobs(&mut self) -> Vec<HopelessJob> {
        std::mem::take(&mut self.hopeless_jobs)
    }

    /// Notes that a step cannot be done while the result of its job is of use; only the first step of a job matters.
    pub(crate) fn note_hopeless(&mut self, step: &StepKey) {
        let Some(entry) = self.jobs.get_mut(&step.job) else {
            return;
        };
        if std::mem::replace(&mut entry.is_hopeless, true) {
            return;
        }
        let is_placed = entry.stages.placed_at.is_some();
        let job = entry.job.clone();
        let priority = self.queue_policy(&job).priority;
        self.hopeless_jobs.push(HopelessJob {
            job: job.id.clone(),
            organisation: job.organisation.clone(),
            priority,
            submitted_at: job.submitted_at,
            step: step.clone(),
            is_placed,
        });
    }
}
