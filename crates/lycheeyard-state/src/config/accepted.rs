use lycheeyard_protocol::{Digest, Revision, TicketNumber};
use serde::{Deserialize, Serialize};

/// A ticket in the order of acceptance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedTicket {
    /// The revision that the ticket made.
    pub revision: Revision,
    /// The ticket's number.
    pub number: TicketNumber,
    /// The digest of its content.
    pub digest: Digest,
}
