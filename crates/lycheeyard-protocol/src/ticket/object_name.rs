use crate::{DataCentreId, OrganisationId, ParseError, ServiceId};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

const EVACUATION: &str = "evacuation";

/// Names an object that a ticket can change, as `organisation/ID`, `service/ID`, `data-centre/ID` or `evacuation`.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub enum ObjectName {
    /// A data centre.
    DataCentre(DataCentreId),
    /// An organisation.
    Organisation(OrganisationId),
    /// A service.
    Service(ServiceId),
    /// The set of evacuated data centres, of which there is one.
    Evacuation,
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DataCentre(id) => write!(f, "data-centre/{id}"),
            Self::Organisation(id) => write!(f, "organisation/{id}"),
            Self::Service(id) => write!(f, "service/{id}"),
            Self::Evacuation => f.write_str(EVACUATION),
        }
    }
}

impl FromStr for ObjectName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.split_once('/') {
            Some(("data-centre", id)) => id.parse().map(Self::DataCentre),
            Some(("organisation", id)) => id.parse().map(Self::Organisation),
            Some(("service", id)) => id.parse().map(Self::Service),
            None if text == EVACUATION => Ok(Self::Evacuation),
            _ => Err(ParseError::Variant {
                text: text.to_owned(),
                expected: "data-centre/ID, organisation/ID, service/ID, evacuation",
            }),
        }
    }
}

impl TryFrom<String> for ObjectName {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<ObjectName> for String {
    fn from(name: ObjectName) -> String {
        name.to_string()
    }
}
