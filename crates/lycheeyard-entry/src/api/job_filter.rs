use lycheeyard_protocol::{DataCentreId, JobRecord, JobState, OrganisationId};
use thiserror::Error;

/// Why the query of a job list is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(super) enum FilterError {
    /// The parameter is unknown.
    #[error("{0} is not one of data-centre, organisation, state")]
    UnknownName(String),
    /// The value of the parameter is invalid.
    #[error("{name} cannot be {value:?}")]
    InvalidValue {
        /// The name of the parameter.
        name: String,
        /// The rejected value.
        value: String,
    },
}

/// Selects the jobs of a list, from a query such as `organisation=a&state=running`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct JobFilter {
    /// The data centre to list. If it is `None`, the data centre of this instance is listed.
    pub data_centre: Option<DataCentreId>,
    organisation: Option<OrganisationId>,
    state: Option<JobState>,
}

impl JobFilter {
    /// Parses the query part of a URL.
    ///
    /// # Errors
    /// Fails at the first unknown parameter or invalid value.
    pub fn parse(query: &str) -> Result<Self, FilterError> {
        let mut filter = Self::default();
        for part in query.split('&').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            let invalid = || FilterError::InvalidValue {
                name: name.to_owned(),
                value: value.to_owned(),
            };
            match name {
                "data-centre" => filter.data_centre = Some(value.parse().map_err(|_| invalid())?),
                "organisation" => filter.organisation = Some(value.parse().map_err(|_| invalid())?),
                "state" => filter.state = Some(value.parse().map_err(|_| invalid())?),
                _ => return Err(FilterError::UnknownName(name.to_owned())),
            }
        }
        Ok(filter)
    }

    /// Whether a job passes the filter. The data centre is not compared, since a list contains the jobs of only one.
    pub fn matches(&self, record: &JobRecord) -> bool {
        let organisation = self.organisation.as_ref();
        organisation.is_none_or(|wanted| *wanted == record.spec.organisation)
            && self.state.is_none_or(|wanted| wanted == record.state)
    }
}
