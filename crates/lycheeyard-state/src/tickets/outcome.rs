use lycheeyard_protocol::{Revision, TicketNumber};
use serde::{Deserialize, Serialize};

/// The acceptance of a ticket, as returned to the operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketOutcome {
    /// The ticket's number.
    pub number: TicketNumber,
    /// The configuration revision that it created.
    pub revision: Revision,
    /// Whether the same ticket had been accepted before this call.
    pub repeated: bool,
}
