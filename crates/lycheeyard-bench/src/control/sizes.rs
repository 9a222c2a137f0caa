use lycheeyard_protocol::{
    Bytes, Cores, DataCentre, DataCentreId, Organisation, ParseError, PolicySettings, Rack,
    RequestsPerSecond, Slots, Ticket, TicketNumber, Weight, Worker,
};

const GIB: u64 = 1024 * 1024 * 1024;
const WORKERS_PER_RACK: usize = 8;

/// The size of a fleet and of its configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetSize {
    /// The number of data centres.
    pub data_centres: usize,
    /// Entry instances per data centre.
    pub instances: usize,
    /// Workers per data centre.
    pub workers: usize,
    /// The number of organisations.
    pub organisations: usize,
}

impl FleetSize {
    /// Generates the names of the data centres.
    ///
    /// # Errors
    /// Fails when a generated name is invalid.
    pub fn data_centre_ids(self) -> Result<Vec<DataCentreId>, ParseError> {
        (1..=self.data_centres)
            .map(|number| format!("dc{number}").parse())
            .collect()
    }
}

/// Generates the ticket with the whole configuration of a fleet.
///
/// # Errors
/// Fails when a generated name is invalid.
pub fn large_ticket(size: FleetSize) -> Result<Ticket, ParseError> {
    let mut ticket = empty_ticket(1);
    for id in size.data_centre_ids()? {
        ticket
            .data_centres
            .push(make_data_centre(id, size.workers)?);
    }
    for number in 0..size.organisations {
        ticket.organisations.push(make_organisation(number, 1)?);
    }
    Ok(ticket)
}

/// Generates a ticket that changes the weight of one organisation.
///
/// # Errors
/// Fails when a generated name is invalid.
pub fn organisation_ticket(number: u64, organisation: usize) -> Result<Ticket, ParseError> {
    let mut ticket = empty_ticket(number);
    let weight = u32::try_from(number).unwrap_or(u32::MAX);
    ticket
        .organisations
        .push(make_organisation(organisation, weight)?);
    Ok(ticket)
}

fn empty_ticket(number: u64) -> Ticket {
    Ticket {
        number: TicketNumber(number),
        summary: "Generated change".to_owned(),
        data_centres: Vec::new(),
        organisations: Vec::new(),
        services: Vec::new(),
        evacuation: None,
        removed: Vec::new(),
    }
}

fn make_organisation(number: usize, weight: u32) -> Result<Organisation, ParseError> {
    Ok(Organisation {
        id: format!("organisation-{number:03}").parse()?,
        weight: Weight(weight),
        concurrency: Slots(100),
        rate: RequestsPerSecond(1000),
        guarantees: Vec::new(),
        key_digests: Vec::new(),
    })
}

fn make_data_centre(id: DataCentreId, workers: usize) -> Result<DataCentre, ParseError> {
    let mut racks: Vec<Rack> = Vec::new();
    for number in 0..workers {
        if number % WORKERS_PER_RACK == 0 {
            racks.push(Rack {
                id: format!("{id}-r{}", number / WORKERS_PER_RACK).parse()?,
                workers: Vec::new(),
            });
        }
        let worker = Worker {
            id: format!("{id}-w{number}").parse()?,
            accelerators: 8,
            cores: Cores(32),
            memory: Bytes(128 * GIB),
        };
        if let Some(rack) = racks.last_mut() {
            rack.workers.push(worker);
        }
    }
    Ok(DataCentre {
        id,
        racks,
        policy: PolicySettings::default(),
    })
}
