use super::AnswerBody;
use hyper::{HeaderMap, StatusCode};
use lycheeyard_protocol::{DataCentreId, Outcome, RunnerId};

/// The origin of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerSource {
    /// A runner of this data centre.
    Runner(RunnerId),
    /// An earlier run of the same request, whose answer was stored; this is the runner that gave it.
    Replayed(RunnerId),
    /// An entry instance of another data centre, with the outcome that it reported.
    DataCentre(DataCentreId, Outcome),
}

/// An answer for a caller, either in memory or streamed as it arrives.
#[derive(Debug)]
pub struct RouteAnswer {
    /// The origin of the answer.
    pub source: AnswerSource,
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}
