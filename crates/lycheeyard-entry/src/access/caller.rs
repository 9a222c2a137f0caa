use lycheeyard_protocol::{JobExplanation, OrganisationId};

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
    /// Takes the names of other organisations' jobs out of an explanation.
    pub fn redact(&self, mut explanation: JobExplanation) -> JobExplanation {
        const HIDDEN: &str = "another organisation's job";
        let mut hidden = Vec::new();
        for name in &mut explanation.behind {
            let organisation = name.split('/').next().and_then(|text| text.parse().ok());
            if !organisation.is_some_and(|id| self.may_see(&id)) {
                hidden.push(std::mem::replace(name, HIDDEN.to_owned()));
            }
        }
        for name in hidden {
            explanation.detail = explanation.detail.replace(&name, HIDDEN);
        }
        explanation
    }
}
