use lycheeyard_protocol::{
    DataCentre, DataCentreId, ObjectName, Organisation, OrganisationId, Revision, Service,
    ServiceId, Ticket, TicketError, TicketNumber,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The complete configuration at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// The revision.
    pub revision: Revision,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// The ticket that changed each object last, including removed objects.
    pub touched_by: BTreeMap<ObjectName, TicketNumber>,
}

impl Configuration {
    /// Returns the configuration that results from a ticket, with the given revision.
    ///
    /// # Errors
    /// Fails when the ticket is invalid, superseded or refers to a missing object.
    pub fn apply(&self, ticket: &Ticket, revision: Revision) -> Result<Self, TicketError> {
        ticket.check()?;
        self.check_order(ticket)?;
        let mut next = self.clone();
        next.revision = revision;
        for object in &ticket.removed {
            next.remove(object)?;
        }
        for data_centre in &ticket.data_centres {
            next.data_centres
                .insert(data_centre.id.clone(), data_centre.clone());
        }
        for service in &ticket.services {
            next.services.insert(service.id.clone(), service.clone());
        }
        for organisation in &ticket.organisations {
            next.organisations
                .insert(organisation.id.clone(), organisation.clone());
        }
        for object in ticket.objects() {
            next.touched_by.insert(object, ticket.number);
        }
        next.check_references()?;
        Ok(next)
    }

    fn check_order(&self, ticket: &Ticket) -> Result<(), TicketError> {
        for object in ticket.objects() {
            if let Some(&winner) = self.touched_by.get(&object)
                && winner >= ticket.number
            {
                return Err(TicketError::Superseded { object, winner });
            }
        }
        Ok(())
    }

    fn remove(&mut self, object: &ObjectName) -> Result<(), TicketError> {
        let existed = match object {
            ObjectName::DataCentre(id) => self.data_centres.remove(id).is_some(),
            ObjectName::Organisation(id) => self.organisations.remove(id).is_some(),
            ObjectName::Service(id) => self.services.remove(id).is_some(),
        };
        if existed {
            Ok(())
        } else {
            Err(TicketError::Missing(object.clone()))
        }
    }

    fn check_references(&self) -> Result<(), TicketError> {
        for organisation in self.organisations.values() {
            for guarantee in &organisation.guarantees {
                if !self.data_centres.contains_key(&guarantee.data_centre) {
                    let object = ObjectName::DataCentre(guarantee.data_centre.clone());
                    return Err(TicketError::Missing(object));
                }
            }
        }
        for organisation in self.services.values().flat_map(|s| &s.organisations) {
            if !self.organisations.contains_key(organisation) {
                let object = ObjectName::Organisation(organisation.clone());
                return Err(TicketError::Missing(object));
            }
        }
        Ok(())
    }
}
