use crate::{ConfigHead, StateError, error::decode};
use lycheeyard_clients::{CallClass, Store};
use lycheeyard_protocol::platform::{Expectation, KeyValue};
use tokio::time::Instant;

/// The key whose compare-and-swap accepts a ticket.
pub(super) const HEAD_KEY: &str = "config/head";

/// The head and the precondition under which it may be replaced.
#[derive(Clone, Debug)]
pub(super) struct StoredHead {
    pub content: ConfigHead,
    pub expect: Expectation,
}

impl StoredHead {
    /// Reads the head; a missing key counts as the head of an empty configuration.
    pub async fn read<S: Store>(store: &S, deadline: Instant) -> Result<Self, StateError> {
        let entry = store.get(CallClass::Ticket, HEAD_KEY, deadline).await?;
        Self::of(entry.as_ref())
    }

    /// Decodes the head from the store's entry.
    pub fn of(entry: Option<&KeyValue>) -> Result<Self, StateError> {
        let Some(entry) = entry else {
            return Ok(Self {
                content: ConfigHead::default(),
                expect: Expectation::Absent,
            });
        };
        Ok(Self {
            content: decode(HEAD_KEY, &entry.value)?,
            expect: Expectation::Version(entry.version),
        })
    }

    /// The store version of the head; zero if the key is missing.
    pub fn version(&self) -> u64 {
        match self.expect {
            Expectation::Version(version) => version,
            Expectation::Absent | Expectation::Any => 0,
        }
    }
}
