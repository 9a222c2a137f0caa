use super::{Job, Progress};
use lycheeyard_protocol::{JobId, JobState, OrganisationId, QueueId, Timestamp};
use serde::{Deserialize, Serialize};

/// What is kept of a job after its end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedJob {
    /// The job.
    pub job: JobId,
    /// The queue that it was submitted to.
    pub queue: QueueId,
    /// The organisation that submitted it.
    pub organisation: OrganisationId,
    /// The final state.
    pub state: JobState,
    /// When the job ended.
    pub ended_at: Timestamp,
}

impl EndedJob {
    /// Summarises a job that has ended with this progress.
    #[must_use]
    pub fn new(job: &Job, progress: &Progress) -> Self {
        Self {
            job: job.id.clone(),
            queue: job.queue.clone(),
            organisation: job.organisation.clone(),
            state: progress.state,
            ended_at: progress.ended_at.unwrap_or(job.submitted_at),
        }
    }
}
