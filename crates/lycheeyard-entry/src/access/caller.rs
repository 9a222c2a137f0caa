use lycheeyard_protocol::OrganisationId;

/// Who makes a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Caller {
    /// Anyone; enough for probes and metrics.
    Anyone,
    /// One of an organisation's callers.
    Organisation(OrganisationId),
    /// An operator, who may do everything.
    Operator,
}

impl Caller {
    /// Whether the caller may see what an organisation owns.
    pub fn may_see(&self, organisation: &OrganisationId) -> bool {
        match self {
            Self::Operator => true,
            Self::Organisation(own) => own == organisation,
            Self::Anyone => false,
        }
    }
}
