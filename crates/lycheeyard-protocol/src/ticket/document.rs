use crate::{
    DataCentre, Digest, Evacuation, ObjectName, Organisation, Service, TicketError, TicketNumber,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A numbered change of the configuration, with the complete new state of every object that it changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The operator's number.
    pub number: TicketNumber,
    /// What the change is for.
    #[serde(default)]
    pub summary: String,
    /// Data centres in their new state.
    #[serde(default)]
    pub data_centres: Vec<DataCentre>,
    /// Organisations in their new state.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// Services in their new state.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The evacuated data centres in their new state. It is left out of the encoded form if the ticket does not
    /// change it, so that the digests of older tickets remain the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuation: Option<Evacuation>,
    /// Objects to remove.
    #[serde(default)]
    pub removed: Vec<ObjectName>,
}

impl Ticket {
    /// The objects that the ticket changes, sorted by name.
    #[must_use]
    pub fn objects(&self) -> Vec<ObjectName> {
        let data_centres = self
            .data_centres
            .iter()
            .map(|d| ObjectName::DataCentre(d.id.clone()));
        let organisations = self
            .organisations
            .iter()
            .map(|o| ObjectName::Organisation(o.id.clone()));
        let services = self
            .services
            .iter()
            .map(|s| ObjectName::Service(s.id.clone()));
        let evacuation = self.evacuation.iter().map(|_| ObjectName::Evacuation);
        let mut objects: Vec<ObjectName> = data_centres
            .chain(organisations)
            .chain(services)
            .chain(evacuation)
            .chain(self.removed.iter().cloned())
            .collect();
        objects.sort();
        objects
    }

    /// The digest of the ticket's content.
    #[must_use]
    pub fn digest(&self) -> Digest {
        // Encoding fails only for maps whose keys are not text; a ticket has none.
        Digest::of(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// Validates the ticket on its own, without the current configuration.
    ///
    /// # Errors
    /// Fails when the ticket changes no object, names an object twice or has an invalid value.
    pub fn check(&self) -> Result<(), TicketError> {
        let objects = self.objects();
        if objects.is_empty() {
            return Err(TicketError::Empty);
        }
        if let Some(pair) = objects.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(TicketError::Duplicate(pair[0].clone()));
        }
        self.data_centres.iter().try_for_each(check_data_centre)?;
        self.services.iter().try_for_each(check_service)?;
        self.organisations.iter().try_for_each(check_organisation)
    }
}

fn check_data_centre(data_centre: &DataCentre) -> Result<(), TicketError> {
    let mut workers = BTreeSet::new();
    for worker in data_centre.workers() {
        if worker.accelerators == 0 {
            return Err(TicketError::NoAccelerators(worker.id.clone()));
        }
        if !workers.insert(&worker.id) {
            return Err(TicketError::DuplicateWorker(worker.id.clone()));
        }
    }
    Ok(())
}

fn check_service(service: &Service) -> Result<(), TicketError> {
    if service.runner_slots.0 == 0 || service.runner_connections < service.runner_slots {
        return Err(TicketError::RunnerLimits(service.id.clone()));
    }
    Ok(())
}

fn check_organisation(organisation: &Organisation) -> Result<(), TicketError> {
    if organisation.weight.0 == 0 {
        return Err(TicketError::NoWeight(organisation.id.clone()));
    }
    let mut digests = organisation.key_digests.iter();
    if digests.any(|text| text.parse::<Digest>().is_err()) {
        return Err(TicketError::KeyDigest(organisation.id.clone()));
    }
    Ok(())
}
