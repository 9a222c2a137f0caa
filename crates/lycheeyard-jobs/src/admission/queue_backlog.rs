use std::time::Duration;

/// The backlog of a queue over all organisations, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueBacklog {
    /// How long work that is submitted now would wait, for the organisation with the longest wait.
    pub longest: Duration,
    /// The number of organisations for which the queue is closed.
    pub closed: usize,
}
