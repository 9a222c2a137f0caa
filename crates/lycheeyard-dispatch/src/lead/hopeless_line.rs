use lycheeyard_jobs::HopelessJob;
use tracing::info;

/// Logs a job that waits behind all others, since it cannot be done while its result is of use.
pub(super) fn log_hopeless_job(hopeless: &HopelessJob) {
    info!(
        job = %hopeless.job,
        organisation = %hopeless.organisation,
        priority = hopeless.priority,
        submitted_at = hopeless.submitted_at.0,
        step = %hopeless.step,
        is_placed = hopeless.is_placed,
        "job: cannot be done within three objectives"
    );
}
