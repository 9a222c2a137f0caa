//! The keys in the store that belong to the product.

use lycheeyard_jobs::WaveNumber;
use lycheeyard_protocol::{JobId, QueueId};

/// Names the instance that schedules, and its term.
pub(crate) const SCHEDULER: &str = "scheduler";
/// Submitted jobs and cancellations.
pub(crate) const REQUESTS: &str = "requests/";
const JOBS: &str = "requests/jobs/";
const CANCELS: &str = "requests/cancels/";
/// What has become of jobs.
pub(crate) const PROGRESS: &str = "progress/";

/// What has become of waves of maintenance.
pub(crate) const MAINTENANCE: &str = "maintenance/";

/// The key of a submitted job.
pub(crate) fn job(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

/// The key of a job's cancellation.
pub(crate) fn cancel(id: &JobId) -> String {
    format!("{CANCELS}{id}")
}

/// The key of a job's progress.
pub(crate) fn progress(id: &JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// The key of a wave's progress.
pub(crate) fn maintenance(number: WaveNumber) -> String {
    format!("{MAINTENANCE}{number}")
}

/// The prefix of the jobs of a queue that have not begun.
pub(crate) fn waiting_in(queue: &QueueId) -> String {
    format!("waiting/{queue}/")
}

/// The key that marks a job as not begun.
pub(crate) fn waiting(queue: &QueueId, id: &JobId) -> String {
    format!("waiting/{queue}/{id}")
}

/// What a key under [`REQUESTS`] names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RequestKey {
    Job(JobId),
    Cancel(JobId),
}

/// Reads a key under [`REQUESTS`].
pub(crate) fn parse_request(key: &str) -> Option<RequestKey> {
    if let Some(id) = key.strip_prefix(JOBS) {
        return id.parse().ok().map(RequestKey::Job);
    }
    let id = key.strip_prefix(CANCELS)?;
    id.parse().ok().map(RequestKey::Cancel)
}

/// Reads a key under [`PROGRESS`].
pub(crate) fn parse_progress(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}

/// Reads a key under [`MAINTENANCE`].
pub(crate) fn parse_maintenance(key: &str) -> Option<WaveNumber> {
    let number = key.strip_prefix(MAINTENANCE)?;
    number.parse().ok().map(WaveNumber)
}
