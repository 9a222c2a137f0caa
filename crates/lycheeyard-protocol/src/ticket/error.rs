use crate::{Digest, ObjectName, OrganisationId, ServiceId, TicketNumber, WorkerId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The reason why a ticket is rejected.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reason", content = "detail")]
pub enum TicketError {
    /// The ticket changes no object.
    #[error(
        "the ticket touches no object; add an organisation, service, data centre, evacuation or removal"
    )]
    Empty,
    /// The ticket names an object twice.
    #[error("the ticket names {0} twice; keep one")]
    Duplicate(ObjectName),
    /// A data centre names a worker twice.
    #[error("worker {0} stands twice; keep one")]
    DuplicateWorker(WorkerId),
    /// A worker has no accelerators.
    #[error("worker {0} has no accelerators; give it at least 1 or leave it out")]
    NoAccelerators(WorkerId),
    /// The runner slots of a service are 0 or exceed its runner connections.
    #[error("service {0} needs runner_slots of at least 1 and at least as many runner_connections")]
    RunnerLimits(ServiceId),
    /// An organisation has no weight.
    #[error("organisation {0} needs a weight of at least 1")]
    NoWeight(OrganisationId),
    /// A key digest is not a SHA-256 digest.
    #[error("organisation {0} has a key digest that is not 64 hexadecimal digits")]
    KeyDigest(OrganisationId),
    /// A ticket with this number and other content was accepted before.
    #[error("ticket {number} was accepted with other content (digest {winner}); use a new number")]
    NumberTaken {
        /// The ticket's number.
        number: TicketNumber,
        /// The digest of the accepted content.
        winner: Digest,
    },
    /// A ticket with the same or a higher number has changed the same object.
    #[error("{object} was last changed by ticket {winner}; use a higher number")]
    Superseded {
        /// The object.
        object: ObjectName,
        /// The ticket that changed it last.
        winner: TicketNumber,
    },
    /// An object that the ticket refers to does not exist.
    #[error("{0} does not exist; create it first or in the same ticket")]
    Missing(ObjectName),
    /// The guaranteed shapes do not all fit into the data centre at once.
    #[error("the guaranteed shapes do not fit at once: {0}")]
    GuaranteesDoNotFit(String),
}
