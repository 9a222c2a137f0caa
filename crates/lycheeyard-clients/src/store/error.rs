use super::CallClass;
use crate::CallError;
use lycheeyard_protocol::platform::KeyValue;
use thiserror::Error;

/// Why a store call gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store is out of reach or refuses calls; a write took no effect.
    #[error("the store is out of reach: {0}")]
    Unavailable(CallError),
    /// The calls of this class would exceed this instance's share of the store's rates; nothing was sent.
    #[error("the store calls of class {0} are over their budget; try again later")]
    RateLimited(CallClass),
    /// The store failed several times in a row and is given time; nothing was sent.
    #[error("the store failed lately and is not called for a moment")]
    CircuitOpen,
    /// A read got no answer.
    #[error("the store did not answer a read: {0}")]
    NoAnswer(CallError),
}

/// What became of a write that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect and made this version.
    Applied(u64),
    /// The expectation did not hold; the key is as given, or absent.
    Conflict(Option<KeyValue>),
    /// It may have taken effect or may yet do so.
    Unknown,
}
