use lycheeyard_clients::CallError;
use thiserror::Error;

/// Why a call to the store gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KvError {
    /// The store was not reached or did not answer.
    #[error("the store gave no answer: {0}")]
    NoAnswer(#[from] CallError),
    /// The store refused the call; nothing was done.
    #[error("the store refused the call with status {0}; nothing was done")]
    Refused(u16),
}

/// Why a call to a worker gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WorkerCallError {
    /// The worker was not reached; nothing was done.
    #[error("the worker was not reached: {0}")]
    NotSent(CallError),
    /// The worker did not answer; the call may be carried out later.
    #[error("the worker did not answer: {0}")]
    NoAnswer(CallError),
    /// The worker has seen a newer scheduling term.
    #[error("the worker has seen a newer scheduling term")]
    Fenced,
    /// The life of the worker that the call was for has ended.
    #[error("that life of the worker has ended")]
    IncarnationEnded,
    /// The worker is not well and did nothing.
    #[error("the worker refused the call with status {0}; nothing was done")]
    Refused(u16),
}

/// Why the advisor gave no advice.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AdviceError {
    /// The settings name no advisor, though a queue needs one.
    #[error("the settings name no advisor; queues with advice start nothing until they do")]
    NoAdvisor,
    /// The advisor was not reached or did not answer.
    #[error("the advisor gave no answer: {0}")]
    NoAnswer(#[from] CallError),
    /// The advisor refused the call.
    #[error("the advisor refused the call with status {0}")]
    Refused(u16),
}

/// Why a call about machines gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MachineCallError {
    /// The settings do not say where machines are looked after.
    #[error("the settings name no address for calls about machines")]
    NoAddress,
    /// There was no answer; an order may be carried out later.
    #[error("calls about machines get no answer: {0}")]
    NoAnswer(#[from] CallError),
    /// The machine has seen a newer scheduling term.
    #[error("the machine has seen a newer scheduling term")]
    Fenced,
    /// The call was refused.
    #[error("a call about machines was refused with status {0}")]
    Refused(u16),
}
