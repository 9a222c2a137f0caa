use lycheeyard_protocol::{DataCentreId, JobRecord, JobState, OrganisationId};
use thiserror::Error;

/// Why a query for jobs cannot be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(super) enum FilterError {
    /// The name is not known.
    #[error("{0} is not one of data-centre, organisation, state")]
    Name(String),
    /// The value cannot be read.
    #[error("{name} cannot be {value:?}")]
    Value {
        /// The name.
        name: String,
        /// The value.
        value: String,
    },
}

/// Which jobs a list shows, read from a query such as `organisation=a&state=running`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct JobFilter {
    /// The data centre; this instance's where none is given.
    pub data_centre: Option<DataCentreId>,
    organisation: Option<OrganisationId>,
    state: Option<JobState>,
}

impl JobFilter {
    /// Reads a query.
    ///
    /// # Errors
    /// Fails at the first part that is not understood.
    pub fn parse(query: &str) -> Result<Self, FilterError> {
        let mut filter = Self::default();
        for part in query.split('&').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            let bad = || FilterError::Value {
                name: name.to_owned(),
                value: value.to_owned(),
            };
            match name {
                "data-centre" => filter.data_centre = Some(value.parse().map_err(|_| bad())?),
                "organisation" => filter.organisation = Some(value.parse().map_err(|_| bad())?),
                "state" => filter.state = Some(value.parse().map_err(|_| bad())?),
                _ => return Err(FilterError::Name(name.to_owned())),
            }
        }
        Ok(filter)
    }

    /// Whether the list shows a job.
    pub fn matches(&self, record: &JobRecord) -> bool {
        let organisation = self.organisation.as_ref();
        organisation.is_none_or(|wanted| *wanted == record.spec.organisation)
            && self.state.is_none_or(|wanted| wanted == record.state)
    }
}
