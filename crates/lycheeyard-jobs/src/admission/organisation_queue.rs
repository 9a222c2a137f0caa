use lycheeyard_protocol::{OrganisationId, QueueId};
use std::fmt;

/// The jobs of one organisation in one queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OrganisationQueue {
    /// The queue.
    pub queue: QueueId,
    /// The organisation.
    pub organisation: OrganisationId,
}

impl fmt::Display for OrganisationQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.queue, self.organisation)
    }
}
