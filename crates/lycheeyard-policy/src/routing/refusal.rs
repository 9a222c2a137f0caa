use std::time::Duration;
use thiserror::Error;

/// Why a request gets no slot. A request with this error has not been sent.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SlotRefusal {
    /// No live runner serves the service.
    #[error("no live runner serves the service here")]
    NoRunner,
    /// The data centre is evacuated.
    #[error("the data centre is evacuated, so its runners get no requests")]
    Evacuated,
    /// The organisation is over its rate limit.
    #[error("the organisation is over its rate")]
    OverRate {
        /// When a retry can help.
        retry_after: Duration,
    },
    /// The queue is full.
    #[error("the queue is full")]
    QueueFull {
        /// When a retry can help.
        retry_after: Duration,
    },
    /// No slot is expected to become free in time for the deadline.
    #[error("no slot is expected to become free in time for the deadline")]
    TooLate {
        /// When a retry can help.
        retry_after: Duration,
    },
}
