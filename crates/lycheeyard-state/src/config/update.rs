use super::{AcceptedTicket, Configuration};
use lycheeyard_protocol::Ticket;
use serde::{Deserialize, Serialize};

/// An accepted ticket with its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedTicket {
    /// Its entry in the order of acceptance.
    pub accepted: AcceptedTicket,
    /// Its content.
    pub ticket: Ticket,
}

/// A newer configuration and the tickets that lead to it from an older one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigUpdate {
    /// The newer configuration.
    pub config: Configuration,
    /// The latest tickets in order, without those that a snapshot already contains.
    pub tickets: Vec<RelayedTicket>,
}

/// The update that an instance sends to a peer with an older configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerUpdate {
    /// The tickets that follow the peer's revision, oldest first.
    Tickets(Vec<RelayedTicket>),
    /// The complete configuration, for a peer whose revision is older than the kept tickets.
    Whole(Box<Configuration>),
}
