use super::{EntryFleet, entry_fleet::SERVICE};
use lycheeyard_protocol::{
    Organisation, ParseError, RequestsPerSecond, Service, Slots, Ticket, TicketNumber, Weight,
};
use std::collections::BTreeSet;

impl EntryFleet {
    /// A ticket that configures the stand-ins' racks, one service and two organisations.
    ///
    /// # Errors
    /// Fails when a name is invalid.
    pub fn base_ticket(&self, number: u64) -> Result<Ticket, ParseError> {
        Ok(Ticket {
            number: TicketNumber(number),
            summary: "Base".to_owned(),
            data_centres: self.standins.data_centres.clone(),
            organisations: vec![open_organisation("org-a")?, open_organisation("org-b")?],
            services: vec![Service {
                id: SERVICE.parse()?,
                organisations: BTreeSet::new(),
                runner_slots: Slots(8),
                runner_connections: Slots(64),
            }],
            evacuation: None,
            removed: Vec::new(),
        })
    }
}

/// An organisation without guarantees whose limits are too high to matter in tests.
fn open_organisation(id: &str) -> Result<Organisation, ParseError> {
    Ok(Organisation {
        id: id.parse()?,
        weight: Weight(1),
        concurrency: Slots(1000),
        rate: RequestsPerSecond(100_000),
        guarantees: Vec::new(),
        key_digests: Vec::new(),
    })
}
