use bytes::Bytes;
use hyper::{
    HeaderMap, Method,
    header::{self, HeaderValue},
};
use lycheeyard_protocol::{Digest, IdempotencyKey, OrganisationId, ServiceId};
use tokio::time::Instant;

/// The names of headers that this system reads or sets.
pub mod header_name {
    /// The organisation that sends a request.
    pub const ORGANISATION: &str = "lycheeyard-organisation";
    /// Milliseconds until the answer is of no more use.
    pub const DEADLINE: &str = "lycheeyard-deadline-ms";
    /// Whether a request may be run more than once.
    pub const IDEMPOTENT: &str = "lycheeyard-idempotent";
    /// Set on a request that was passed on by an instance of another data centre.
    pub const HOP: &str = "lycheeyard-hop";
    /// The caller's or the system's identifier of a call, for logs.
    pub const REQUEST_ID: &str = "lycheeyard-request-id";
    /// What became of a request.
    pub const OUTCOME: &str = "lycheeyard-outcome";
    /// The runner that gave an answer.
    pub const RUNNER: &str = "lycheeyard-runner";
    /// Set by a runner that takes no new work.
    pub const RUNNER_STATE: &str = "lycheeyard-runner-state";
    /// Identifies one try; an answer that carries another one is not passed on.
    pub const TRY_ID: &str = "lycheeyard-try-id";
    /// Set on an answer that was kept from an earlier run.
    pub const REPLAYED: &str = "lycheeyard-replayed";
    /// The caller's key of a non-idempotent request.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}

/// The control headers that callers may send.
pub const CONTROL_HEADERS: [&str; 5] = [
    header_name::ORGANISATION,
    header_name::DEADLINE,
    header_name::IDEMPOTENT,
    header_name::HOP,
    header_name::REQUEST_ID,
];

/// A caller's request, read whole and checked.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The organisation that sends it.
    pub organisation: OrganisationId,
    /// The service that it is for.
    pub service: ServiceId,
    /// Until when an answer is of use.
    pub deadline: Instant,
    /// The key under which it runs at most once; none for a request that may be run more than once.
    pub key: Option<IdempotencyKey>,
    /// Whether an instance of another data centre passed it on.
    pub hopped: bool,
    /// The HTTP method.
    pub method: Method,
    /// The path and query for the runner, from `/`.
    pub path: String,
    /// The headers for the runner.
    pub headers: HeaderMap,
    /// The caller's credentials, for an instance of another data centre only.
    pub authorization: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl RouteRequest {
    /// The digest of what the request asks for.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let line = format!("{} {} {}\n", self.method, self.service, self.path);
        let mut content = line.into_bytes();
        content.extend_from_slice(&self.body);
        Digest::of(&content)
    }
}

/// The headers without those that belong to one connection.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::UPGRADE,
        header::TE,
        header::TRAILER,
        header::HOST,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
    ] {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept.remove(header_name::TRY_ID);
    kept
}
