use super::AnswerBody;
use hyper::{HeaderMap, StatusCode};
use lycheeyard_protocol::{DataCentreId, Outcome, RunnerId};

/// Where an answer comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerSource {
    /// A runner of this data centre.
    Runner(RunnerId),
    /// An earlier run of the same request, kept in the store.
    Replayed(RunnerId),
    /// An entry instance of another data centre, with its own statement of the outcome.
    DataCentre(DataCentreId, Outcome),
}

/// An answer for a caller: whole, or long and passed on as it arrives.
#[derive(Debug)]
pub struct RouteAnswer {
    /// Where it comes from.
    pub source: AnswerSource,
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}
