use crate::Job;

/// The priority of the jobs that a guarantee covers.
pub(super) const GUARANTEED_PRIORITY: u32 = 0;

/// Whether a job is accepted although its queue is closed for its organisation, to which `guarantee` accelerators are guaranteed.
///
/// That is the case for an urgent job that the guarantee can cover, and for a job that no objective from its submission applies to.
#[must_use]
pub fn is_never_refused(job: &Job, guarantee: u32) -> bool {
    let accelerators = job.steps.iter();
    let accelerators = accelerators.map(|step| step.tasks.saturating_mul(step.demand.accelerators));
    let is_covered = guarantee > 0
        && accelerators
            .max()
            .is_some_and(|largest| largest <= guarantee);
    !has_objective(job) || (job.policy.priority == GUARANTEED_PRIORITY && is_covered)
}

/// Whether a job is to complete within a time from its submission.
pub(super) fn has_objective(job: &Job) -> bool {
    job.schedule.is_none() && !job.steps.iter().any(|step| step.long_running)
}
