use lycheeyard_clients::StoreError;
use lycheeyard_protocol::{ParseError, Revision, TicketError};
use thiserror::Error;

/// The reason why durable state could not be read or written.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StateError {
    /// The store returned no result; nothing was changed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A write may have taken effect, and reading the key did not resolve it.
    #[error("a write to the store may have taken effect; ask again to learn what became of it")]
    Unknown,
    /// A preparatory write was not confirmed; the requested change was not made.
    #[error("the store did not confirm a write; nothing was changed")]
    NotWritten,
    /// A stored value could not be read.
    #[error("the stored value at {key} cannot be read: {reason}")]
    Corrupt {
        /// The key.
        key: String,
        /// The decoding error.
        reason: String,
    },
    /// Tickets from a peer do not continue the configuration in force.
    #[error("revision {next} does not follow revision {known}")]
    Gap {
        /// The revision in force.
        known: Revision,
        /// The revision of the peer's next ticket.
        next: Revision,
    },
    /// The ticket was rejected.
    #[error(transparent)]
    Ticket(#[from] TicketError),
    /// A generated name was invalid.
    #[error(transparent)]
    Name(#[from] ParseError),
    /// Every attempt lost a race against another writer of the same key.
    #[error("too many writers race for {0}; try again")]
    Contended(String),
}

/// Decodes a stored JSON value.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(
    key: &str,
    value: &str,
) -> Result<T, StateError> {
    serde_json::from_str(value).map_err(|err| StateError::Corrupt {
        key: key.to_owned(),
        reason: err.to_string(),
    })
}

/// Encodes a value as JSON text.
pub(crate) fn encode<T: serde::Serialize>(key: &str, value: &T) -> Result<String, StateError> {
    serde_json::to_string(value).map_err(|err| StateError::Corrupt {
        key: key.to_owned(),
        reason: err.to_string(),
    })
}
