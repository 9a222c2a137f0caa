use lycheeyard_protocol::{Digest, Nonce, Revision, TicketNumber};
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

/// The one key whose compare-and-swap accepts a ticket.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHead {
    /// The revision of the last accepted ticket.
    pub revision: Revision,
    /// Every accepted ticket, oldest first.
    pub accepted: Vec<AcceptedTicket>,
    /// The nonce of the last write.
    pub nonce: Option<Nonce>,
}

impl ConfigHead {
    /// The accepted ticket of a number.
    #[must_use]
    pub fn find(&self, number: TicketNumber) -> Option<&AcceptedTicket> {
        self.accepted.iter().find(|ticket| ticket.number == number)
    }
}
