use lycheeyard_protocol::{Digest, Revision, TicketNumber, Timestamp};
use serde::{Deserialize, Serialize};

/// A ticket's entry in the order of acceptance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedTicket {
    /// The configuration revision that the ticket created.
    pub revision: Revision,
    /// The ticket's number.
    pub number: TicketNumber,
    /// The digest of its content.
    pub digest: Digest,
    /// When it was accepted, by the clock of the accepting instance; older versions did not record this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted_at: Option<Timestamp>,
}
