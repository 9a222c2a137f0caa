use lycheeyard_jobs::QueuePolicy;
use lycheeyard_protocol::{OrganisationId, QueueId};
use std::time::Duration;

/// A call that may be served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmittedCall {
    /// The queue that it is for.
    pub queue: QueueId,
    /// The queue's policy.
    pub policy: QueuePolicy,
    /// Whose call it is.
    pub organisation: OrganisationId,
    /// What follows the queue's prefix in the path.
    pub rest: String,
    /// The longest time that it may take.
    pub timeout: Duration,
    /// The longest body in bytes.
    pub max_body_bytes: usize,
}
