use crate::{TicketNumber, Timestamp};
use serde::{Deserialize, Serialize};

/// The acceptance of the ticket with which the evacuation of a data centre began.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationStart {
    /// The ticket.
    pub ticket: TicketNumber,
    /// When it was accepted, by the clock of the accepting instance; `None` if that was not recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<Timestamp>,
}
