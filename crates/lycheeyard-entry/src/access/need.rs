use hyper::{HeaderMap, Method};
use lycheeyard_protocol::OrganisationId;

const ORGANISATION_HEADER: &str = "lycheeyard-organisation";

const ORGANISATION_QUERY: &str = "organisation=";

/// What a call needs its caller to be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Need {
    /// Nothing.
    Nothing,
    /// A caller of this organisation, or an operator.
    Organisation(OrganisationId),
    /// An operator; also for every call that is not known.
    Operator,
}

impl Need {
    /// The need of a call, by its method, the segments of its path, its query and its headers.
    pub fn of(method: &Method, segments: &[&str], query: &str, headers: &HeaderMap) -> Self {
        match (method, segments) {
            (&Method::GET, ["livez" | "readyz" | "metrics"]) => Self::Nothing,
            (&Method::GET, ["v1", "jobs"]) => {
                let mut parts = query.split('&');
                Self::organisation(parts.find_map(|part| part.strip_prefix(ORGANISATION_QUERY)))
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
