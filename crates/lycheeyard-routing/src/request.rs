use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use lycheeyard_protocol::{OrganisationId, RunnerId, ServiceId};
use tokio::time::Instant;

/// A caller's request, read whole and checked.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The organisation that sends it.
    pub organisation: OrganisationId,
    /// The service that it is for.
    pub service: ServiceId,
    /// Until when an answer is of use.
    pub deadline: Instant,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// The HTTP method.
    pub method: Method,
    /// The path and query for the runner, from `/`.
    pub path: String,
    /// The headers for the runner.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A runner's whole answer.
#[derive(Clone, Debug)]
pub struct RouteAnswer {
    /// The runner.
    pub runner: RunnerId,
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}
