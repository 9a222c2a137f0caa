use super::{AcceptedTicket, Configuration};
use lycheeyard_protocol::Ticket;
use serde::{Deserialize, Serialize};

/// An accepted ticket with its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedTicket {
    /// Its place in the order of acceptance.
    pub accepted: AcceptedTicket,
    /// Its content.
    pub ticket: Ticket,
}

/// A newer configuration and the tickets that led to it from an older one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigUpdate {
    /// The newer configuration.
    pub config: Configuration,
    /// The last tickets in order; none before a snapshot that was read on the way.
    pub tickets: Vec<RelayedTicket>,
}

/// What an instance sends to a peer whose configuration is older.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerUpdate {
    /// The tickets that follow the peer's revision, oldest first.
    Tickets(Vec<RelayedTicket>),
    /// The whole configuration, for a peer that is too far behind.
    Whole(Box<Configuration>),
}
