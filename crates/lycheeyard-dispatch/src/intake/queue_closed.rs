use crate::{metrics::record_refused_submission, ports::Item};
use lycheeyard_jobs::{ClosedQueue, Job};
use std::time::Duration;
use tracing::{info, warn};

/// The refusal when the record of the closed queue cannot be decoded.
const UNREADABLE: QueueClosed = QueueClosed {
    backlog: None,
    retry_after_s: 1,
};

/// The queue accepts no jobs of the organisation at present. The job is not stored and will not be stored later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueClosed {
    /// How long the job would have waited; `None` if that is unknown.
    pub backlog: Option<Duration>,
    /// After how many seconds the caller may submit the job again.
    pub retry_after_s: u64,
}

impl QueueClosed {
    /// Decodes the record of the closed queue that refuses `job`, and logs and counts the refusal.
    pub(super) fn read(item: &Item, job: &Job) -> Self {
        let now = job.submitted_at;
        let refusal = match serde_json::from_slice::<ClosedQueue>(&item.value) {
            Ok(closed) => {
                let (first, last) = closed.retry_after_s(now);
                Self {
                    backlog: Some(closed.wait(now)),
                    retry_after_s: rand::random_range(first..=last),
                }
            }
            Err(err) => {
                warn!(key = %item.key, %err, "submit: the record of a closed queue cannot be read");
                UNREADABLE
            }
        };
        let backlog_ms = refusal.backlog.map(|backlog| backlog.as_millis());
        let retry_after_s = refusal.retry_after_s;
        info!(job = %job.id, queue = %job.queue, organisation = %job.organisation, priority = job.policy.priority, backlog_ms, retry_after_s, "submit: refused, the queue is closed");
        record_refused_submission(&job.queue);
        refusal
    }
}
