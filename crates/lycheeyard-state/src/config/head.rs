use super::{AcceptedTicket, SnapshotPointer};
use lycheeyard_protocol::{Nonce, Revision, TicketNumber};
use serde::{Deserialize, Serialize};

/// The value of the key whose compare-and-swap accepts a ticket.
///
/// Its size is bounded: older tickets are moved to history pages and a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHead {
    /// The revision of the last accepted ticket.
    pub revision: Revision,
    /// The newest snapshot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<SnapshotPointer>,
    /// The snapshot before the newest one, kept for readers that have not finished reading it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous_snapshot: Option<SnapshotPointer>,
    /// The most recently accepted tickets, oldest first, including every one that is newer than the snapshot.
    pub tail: Vec<AcceptedTicket>,
    /// The nonce of the last write.
    pub nonce: Option<Nonce>,
}

impl ConfigHead {
    /// The accepted ticket with a number, if it is in the tail.
    #[must_use]
    pub fn find(&self, number: TicketNumber) -> Option<&AcceptedTicket> {
        self.tail.iter().find(|ticket| ticket.number == number)
    }

    /// The revision that precedes the first ticket of the tail.
    #[must_use]
    pub fn tail_base(&self) -> Revision {
        let first = self.tail.first();
        first.map_or(self.revision, |ticket| {
            Revision(ticket.revision.0.saturating_sub(1))
        })
    }
}
