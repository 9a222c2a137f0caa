use super::CallClass;
use crate::CallError;
use lycheeyard_protocol::platform::KeyValue;
use thiserror::Error;

/// Why a store call gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store is unreachable or rejects calls; a write took no effect.
    #[error("the store is out of reach: {0}")]
    Unavailable(CallError),
    /// The call would have exceeded this instance's share of the store's rates; nothing was sent.
    #[error("the store calls of class {0} are over their budget; try again later")]
    RateLimited(CallClass),
    /// The circuit breaker is open after several failures in a row; nothing was sent.
    #[error("the store failed lately and is not called for a moment")]
    CircuitOpen,
    /// A read got no response.
    #[error("the store did not answer a read: {0}")]
    NoAnswer(CallError),
}

/// The outcome of a write that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    Applied(u64),
    /// The expectation did not hold; contains the current entry, or none if the key is absent.
    Conflict(Option<KeyValue>),
    /// The write may have taken effect or may still do so.
    Unknown,
}
