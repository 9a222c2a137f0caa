use lycheeyard_protocol::{AuditEntry, AuditEvent, ObjectName, TicketNumber, Timestamp};

/// Selects entries of the audit trail; an entry must meet every condition that is set.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AuditFilter {
    /// Only entries that concern this object.
    pub object: Option<ObjectName>,
    /// Only entries of this ticket.
    pub ticket: Option<TicketNumber>,
    /// Only entries after this time.
    pub after: Option<Timestamp>,
    /// Only entries before this time.
    pub before: Option<Timestamp>,
}

impl AuditFilter {
    /// Whether an entry meets all conditions.
    #[must_use]
    pub fn matches(&self, entry: &AuditEntry) -> bool {
        self.after.is_none_or(|after| entry.at > after)
            && self.before.is_none_or(|before| entry.at < before)
            && self
                .ticket
                .is_none_or(|number| ticket_number(&entry.event) == Some(number))
            && self
                .object
                .as_ref()
                .is_none_or(|object| concerns(entry, object))
    }
}

fn ticket_number(event: &AuditEvent) -> Option<TicketNumber> {
    match event {
        AuditEvent::TicketAccepted { number, .. } | AuditEvent::TicketRefused { number, .. } => {
            Some(*number)
        }
        _ => None,
    }
}

fn concerns(entry: &AuditEntry, object: &ObjectName) -> bool {
    if let AuditEvent::TicketAccepted { objects, .. } | AuditEvent::TicketRefused { objects, .. } =
        &entry.event
    {
        return objects.contains(object);
    }
    match object {
        ObjectName::DataCentre(id) => entry.data_centre == *id,
        ObjectName::Service(_) | ObjectName::Evacuation => false,
        ObjectName::Organisation(id) => match &entry.event {
            AuditEvent::JobPlaced { organisation, .. }
            | AuditEvent::JobReleased { organisation, .. } => organisation == id,
            AuditEvent::JobReclaimed {
                organisation,
                claimant,
                ..
            } => organisation == id || claimant == id,
            _ => false,
        },
    }
}
