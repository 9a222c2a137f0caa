use lycheeyard_protocol::{Revision, TicketNumber};
use serde::{Deserialize, Serialize};

/// An accepted ticket, told to the operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketOutcome {
    /// The ticket's number.
    pub number: TicketNumber,
    /// The revision that it made.
    pub revision: Revision,
    /// Whether the same ticket had been accepted before this call.
    pub repeated: bool,
}
