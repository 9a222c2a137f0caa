use lycheeyard_protocol::{Digest, Revision, TicketNumber};
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
}
