use lycheeyard_clients::CallError;
use thiserror::Error;

/// The status with which a callee refuses calls beyond the rate that it serves.
const TOO_MANY_REQUESTS: u16 = 429;

/// Why a call to the store has no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KvError {
    /// The store could not be reached or did not answer.
    #[error("the store gave no answer: {0}")]
    NoAnswer(#[from] CallError),
    /// The store refused the call; nothing was done.
    #[error("the store refused the call with status {0}; nothing was done")]
    Refused(u16),
    /// The store will never take this write, however often it is sent; nothing was done.
    #[error("the store will never take the write: {0}")]
    Rejected(WriteRejection),
    /// The answer to a read had begun to arrive and was not whole by the deadline of the caller.
    #[error("the answer of the store did not arrive whole in time")]
    Late,
}

impl KvError {
    /// Returns whether the store refused the call because it gets more calls than it serves; nothing was done.
    #[must_use]
    pub fn is_over_rate(&self) -> bool {
        *self == Self::Refused(TOO_MANY_REQUESTS)
    }

    /// Returns the metric label of the reason.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::NoAnswer(_) => "no-answer",
            Self::Refused(_) if self.is_over_rate() => "over-rate",
            Self::Refused(_) => "refused",
            Self::Rejected(_) => "rejected",
            Self::Late => "late",
        }
    }
}

/// Why the store will never take a write.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum WriteRejection {
    /// A value is larger than the store takes; the write was not sent.
    #[error("a value has {bytes} bytes, and {max_bytes} are allowed")]
    ValueTooLarge {
        /// The size of the value, in bytes.
        bytes: usize,
        /// The largest size, in bytes.
        max_bytes: usize,
    },
    /// The store answered with this status, which it gives to each copy of the write.
    #[error("status {0}")]
    Status(u16),
}

/// Why a call to a worker has no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WorkerCallError {
    /// The worker could not be reached; nothing was done.
    #[error("the worker could not be reached: {0}")]
    NotSent(CallError),
    /// The worker did not answer; the call may still take effect.
    #[error("the worker did not answer: {0}")]
    NoAnswer(CallError),
    /// The worker has seen a newer scheduling term.
    #[error("the worker has seen a newer scheduling term")]
    Fenced,
    /// The incarnation of the worker that the call was for has ended.
    #[error("that incarnation of the worker has ended")]
    IncarnationEnded,
    /// A report does not say which incarnation of the worker it is from, so that nothing follows from it.
    #[error("the report does not say which incarnation of the worker it is from")]
    NoIncarnation,
    /// The worker refused the call, for example because it is unhealthy; nothing was done.
    #[error("the worker refused the call with status {0}; nothing was done")]
    Refused(u16),
}

/// Why a request for advice has no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AdviceError {
    /// The settings name no advisor, though a queue needs one.
    #[error("the settings name no advisor; queues with advice start nothing until they do")]
    NoAdvisor,
    /// The advisor could not be reached or did not answer.
    #[error("the advisor gave no answer: {0}")]
    NoAnswer(#[from] CallError),
    /// The advisor refused the call.
    #[error("the advisor refused the call with status {0}")]
    Refused(u16),
}

/// Why a call about machines has no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MachineCallError {
    /// The settings name no address of the machine management.
    #[error("the settings name no address for calls about machines")]
    NoAddress,
    /// There was no answer; an order may still take effect.
    #[error("a call about machines got no answer: {0}")]
    NoAnswer(#[from] CallError),
    /// The machine has seen a newer scheduling term.
    #[error("the machine has seen a newer scheduling term")]
    Fenced,
    /// The call was refused.
    #[error("a call about machines was refused with status {0}")]
    Refused(u16),
}
