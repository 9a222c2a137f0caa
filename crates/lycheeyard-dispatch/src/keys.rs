//! The layout of this system's keys in the store.

use lycheeyard_jobs::WaveNumber;
use lycheeyard_protocol::{InstanceId, JobId, OrganisationId, QueueId};

/// Names the scheduling instance; exists while its lease is in force, and its revision identifies the term.
pub(crate) const SCHEDULER: &str = "scheduler";
/// The record of the last term that may have extended leases of workers; see [`crate::term::ExtendingTerm`].
pub(crate) const EXTENDING_TERM: &str = "extending-term";
/// Names an instance that asks the scheduling one to hand over.
pub(crate) const SUCCESSOR: &str = "successor";
/// Written to draw an epoch: the revision of the write. Its value is the epoch of the term.
pub(crate) const EPOCH: &str = "epoch";
/// Written with each change of the keys of closed queues. Its value is the number of the change in the term.
pub(crate) const CLOSED_QUEUES: &str = "closed-queues";
/// The prefix of submitted jobs and cancellations.
pub(crate) const REQUESTS: &str = "requests/";
const JOBS: &str = "requests/jobs/";
/// The prefix of cancellations.
pub(crate) const CANCELS: &str = "requests/cancels/";
/// The prefix of the keys of jobs that were cancelled before they were stored.
const WITHDRAWN: &str = "withdrawn/";
/// The prefix of the keys that mark jobs as waiting.
pub(crate) const WAITING: &str = "waiting/";
/// The prefix of the progress records of jobs.
pub(crate) const PROGRESS: &str = "progress/";

/// The prefix of the records of archived jobs.
pub(crate) const ENDED: &str = "ended/";

/// The prefix of the progress records of maintenance waves.
pub(crate) const MAINTENANCE: &str = "maintenance/";

/// The record of the speeds of workers, which a successor continues from.
pub(crate) const WORKER_SPEEDS: &str = "worker-speeds";

/// The record of silent workers: which ones no instance calls, and until when their leases and start orders may last.
pub(crate) const SILENT_WORKERS: &str = "silent-workers";

/// The prefix of the records of the running instances.
pub(crate) const INSTANCES: &str = "instances/";

/// Returns the key of the record of an instance.
pub(crate) fn instance(id: &InstanceId) -> String {
    format!("{INSTANCES}{id}")
}

/// Parses a key under [`INSTANCES`].
pub(crate) fn parse_instance(key: &str) -> Option<InstanceId> {
    key.strip_prefix(INSTANCES)?.parse().ok()
}

/// Returns the key of a submitted job.
pub(crate) fn job(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

/// Returns the key of a job's cancellation.
pub(crate) fn cancel(id: &JobId) -> String {
    format!("{CANCELS}{id}")
}

/// Returns the key that exists while a job that was cancelled before it was stored must not be stored. It names the queue and the
/// organisation, so that no caller keeps another organisation from submitting a job.
pub(crate) fn withdrawn(queue: &QueueId, organisation: &OrganisationId, id: &JobId) -> String {
    format!("{WITHDRAWN}{queue}/{organisation}/{id}")
}

/// Returns the key of a job's progress record.
pub(crate) fn progress(id: &JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// Returns the key of an archived job, whose other keys no longer exist.
pub(crate) fn ended(id: &JobId) -> String {
    format!("{ENDED}{id}")
}

/// Returns the key of a wave's progress record.
pub(crate) fn maintenance(number: WaveNumber) -> String {
    format!("{MAINTENANCE}{number}")
}

/// Returns the prefix of the keys that mark a queue's waiting jobs.
pub(crate) fn waiting_prefix(queue: &QueueId) -> String {
    format!("{WAITING}{queue}/")
}

/// Returns the key that marks a job as waiting, which means accepted and not started.
pub(crate) fn waiting(queue: &QueueId, id: &JobId) -> String {
    format!("{WAITING}{queue}/{id}")
}

/// Returns the key that exists while a queue accepts no jobs of an organisation.
pub(crate) fn closed_queue(queue: &QueueId, organisation: &OrganisationId) -> String {
    format!("{CLOSED_QUEUES}/{queue}/{organisation}")
}

/// A parsed key under [`REQUESTS`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RequestKey {
    Job(JobId),
    Cancel(JobId),
}

/// Parses a key under [`REQUESTS`].
pub(crate) fn parse_request(key: &str) -> Option<RequestKey> {
    if let Some(id) = key.strip_prefix(JOBS) {
        return id.parse().ok().map(RequestKey::Job);
    }
    let id = key.strip_prefix(CANCELS)?;
    id.parse().ok().map(RequestKey::Cancel)
}

/// Parses a key under [`WAITING`].
pub(crate) fn parse_waiting(key: &str) -> Option<JobId> {
    let (_, id) = key.strip_prefix(WAITING)?.split_once('/')?;
    id.parse().ok()
}

/// Parses a key under [`PROGRESS`].
pub(crate) fn parse_progress(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}

/// Parses a key under [`MAINTENANCE`].
pub(crate) fn parse_maintenance(key: &str) -> Option<WaveNumber> {
    let number = key.strip_prefix(MAINTENANCE)?;
    number.parse().ok().map(WaveNumber)
}
