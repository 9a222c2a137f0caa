use hyper::{HeaderMap, Method};
use lycheeyard_protocol::OrganisationId;

const ORGANISATION_HEADER: &str = "lycheeyard-organisation";

const ORGANISATION_PARAMETER: &str = "organisation=";

/// The access level that a call requires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RequiredAccess {
    /// No key: probes and metrics.
    Public,
    /// A key of this organisation or of an operator.
    Organisation(OrganisationId),
    /// An operator's key. Also required for every call that no other rule covers.
    Operator,
}

impl RequiredAccess {
    /// Determines the access level from the method, path segments, query and headers of a call.
    pub fn of_call(method: &Method, segments: &[&str], query: &str, headers: &HeaderMap) -> Self {
        match (method, segments) {
            (&Method::GET, ["livez" | "readyz" | "metrics"]) => Self::Public,
            (&Method::GET, ["v1", "jobs"]) => {
                let mut parts = query.split('&');
                Self::organisation(parts.find_map(|part| part.strip_prefix(ORGANISATION_PARAMETER)))
            }
            (_, ["v1", "services", ..]) => {
                let name = headers.get(ORGANISATION_HEADER);
                Self::organisation(name.and_then(|name| name.to_str().ok()))
            }
            (_, ["v1", "jobs", organisation, _, ..]) => Self::organisation(Some(organisation)),
            _ => Self::Operator,
        }
    }

    fn organisation(name: Option<&str>) -> Self {
        let id = name.and_then(|name| name.parse().ok());
        id.map_or(Self::Operator, Self::Organisation)
    }
}
