use lycheeyard_protocol::{
    DataCentre, DataCentreId, Evacuation, EvacuationStart, ObjectName, Organisation,
    OrganisationId, Revision, Service, ServiceId, Ticket, TicketError, TicketNumber, Timestamp,
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
    /// The evacuated data centres. The field is left out of the encoded form if there are none, so that snapshots
    /// without evacuations remain as older versions write and read them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub evacuations: BTreeMap<DataCentreId, EvacuationStart>,
    /// The ticket that changed each object last, including removed objects.
    pub touched_by: BTreeMap<ObjectName, TicketNumber>,
}

impl Configuration {
    /// Returns the configuration that results from a ticket, with the given revision. `accepted_at` is the recorded
    /// time of its acceptance, if there is one.
    ///
    /// # Errors
    /// Fails when the ticket is invalid, superseded or refers to a missing object.
    pub fn apply(
        &self,
        ticket: &Ticket,
        revision: Revision,
        accepted_at: Option<Timestamp>,
    ) -> Result<Self, TicketError> {
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
        if let Some(evacuation) = &ticket.evacuation {
            let start = EvacuationStart {
                ticket: ticket.number,
                since: accepted_at,
            };
            next.set_evacuation(evacuation, start);
        }
        for object in ticket.objects() {
            next.touched_by.insert(object, ticket.number);
        }
        next.check_references()?;
        Ok(next)
    }

    /// Whether a data centre is evacuated, so that it gets no new work.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &DataCentreId) -> bool {
        self.evacuations.contains_key(data_centre)
    }

    /// Replaces the set of evacuated data centres. One that is evacuated already keeps its start.
    fn set_evacuation(&mut self, evacuation: &Evacuation, start: EvacuationStart) {
        let present = std::mem::take(&mut self.evacuations);
        let evacuated = evacuation.data_centres.iter().map(|id| {
            let start = present.get(id).copied().unwrap_or(start);
            (id.clone(), start)
        });
        self.evacuations = evacuated.collect();
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
            ObjectName::Evacuation => !std::mem::take(&mut self.evacuations).is_empty(),
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
        for id in self.evacuations.keys() {
            if !self.data_centres.contains_key(id) {
                return Err(TicketError::Missing(ObjectName::DataCentre(id.clone())));
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
