use lycheeyard_jobs::QueuePolicy;
use lycheeyard_protocol::{OrganisationId, QueueId};
use std::time::Duration;

/// A call that passed admission, with the settings that apply to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmittedCall {
    /// The queue that the call addresses.
    pub queue: QueueId,
    /// The scheduling policy of the queue.
    pub policy: QueuePolicy,
    /// The organisation of the caller; the public organisation for a queue that needs no key.
    pub organisation: OrganisationId,
    /// The number of accelerators guaranteed to the organisation.
    pub guarantee: u32,
    /// The part of the path after the queue's prefix.
    pub subpath: String,
    /// The maximum time to serve the call.
    pub timeout: Duration,
    /// The maximum size of the body in bytes.
    pub max_body_bytes: usize,
}
