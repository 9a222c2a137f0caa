use super::OrganisationQueue;
use std::time::Duration;
use strum::Display;

/// Whether a queue accepts jobs of an organisation.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum QueueState {
    /// It accepts jobs.
    Open,
    /// It refuses jobs.
    Closed,
}

/// A queue was closed or opened for an organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueChange {
    /// The queue and the organisation.
    pub of: OrganisationQueue,
    /// The new state.
    pub state: QueueState,
    /// How long work that is submitted now would wait.
    pub wait: Duration,
    /// The longest wait from its submission with which any unfinished job can still be of use; `None` if none has an objective.
    pub longest_wait: Option<Duration>,
}
