use lycheeyard_protocol::{JobExplanation, OrganisationId};

/// The authenticated identity of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Caller {
    /// An unauthenticated caller, who may only read the probes and the metrics.
    Anonymous,
    /// A caller with a key of this organisation.
    Organisation(OrganisationId),
    /// An operator, who may make every call.
    Operator,
}

impl Caller {
    /// Whether the caller may read the jobs of an organisation.
    pub fn may_see(&self, organisation: &OrganisationId) -> bool {
        match self {
            Self::Operator => true,
            Self::Organisation(own) => own == organisation,
            Self::Anonymous => false,
        }
    }

    /// Replaces the names of jobs that the caller may not see in an explanation.
    pub fn redact(&self, mut explanation: JobExplanation) -> JobExplanation {
        const REDACTED_JOB: &str = "another organisation's job";
        let mut redacted = Vec::new();
        for name in &mut explanation.behind {
            let organisation = name.split('/').next().and_then(|text| text.parse().ok());
            if !organisation.is_some_and(|id| self.may_see(&id)) {
                redacted.push(std::mem::replace(name, REDACTED_JOB.to_owned()));
            }
        }
        for name in redacted {
            explanation.detail = explanation.detail.replace(&name, REDACTED_JOB);
        }
        explanation
    }
}
