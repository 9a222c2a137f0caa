use bytes::Bytes;
use hyper::{
    HeaderMap, Method,
    header::{self, HeaderValue},
};
use lycheeyard_protocol::{Digest, IdempotencyKey, OrganisationId, ServiceId};
use tokio::time::Instant;

/// The names of the headers that the system reads or sets.
pub mod header_name {
    /// The organisation that sends a request.
    pub const ORGANISATION: &str = "lycheeyard-organisation";
    /// Milliseconds until the deadline of the request.
    pub const DEADLINE: &str = "lycheeyard-deadline-ms";
    /// Whether a request is idempotent and may be run more than once.
    pub const IDEMPOTENT: &str = "lycheeyard-idempotent";
    /// Set on a request that an instance of another data centre forwarded.
    pub const HOP: &str = "lycheeyard-hop";
    /// The caller's or the system's identifier of a call, for logs.
    pub const REQUEST_ID: &str = "lycheeyard-request-id";
    /// The outcome of a request: whether it was run.
    pub const OUTCOME: &str = "lycheeyard-outcome";
    /// The runner that gave an answer.
    pub const RUNNER: &str = "lycheeyard-runner";
    /// Set on an answer of a runner that accepts no new requests.
    pub const RUNNER_STATE: &str = "lycheeyard-runner-state";
    /// Identifies one try of a request; an answer with the id of another try is rejected.
    pub const TRY_ID: &str = "lycheeyard-try-id";
    /// Set on an answer that comes from the store, after an earlier run of the same request.
    pub const REPLAYED: &str = "lycheeyard-replayed";
    /// The caller's idempotency key of a non-idempotent request.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}

/// The control headers that callers, or instances that forward their requests, may send.
pub const CONTROL_HEADERS: [&str; 6] = [
    header_name::ORGANISATION,
    header_name::DEADLINE,
    header_name::IDEMPOTENT,
    header_name::HOP,
    header_name::REQUEST_ID,
    header_name::TRY_ID,
];

/// A caller's request, completely read and validated.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The organisation that sends it.
    pub organisation: OrganisationId,
    /// The service that it is for.
    pub service: ServiceId,
    /// When the caller stops waiting for an answer.
    pub deadline: Instant,
    /// The key under which the request runs at most once; `None` for an idempotent request.
    pub key: Option<IdempotencyKey>,
    /// Whether an instance of another data centre forwarded the request.
    pub is_forwarded: bool,
    /// The HTTP method.
    pub method: Method,
    /// The path and query for the runner, starting with `/`.
    pub path: String,
    /// The headers for the runner.
    pub headers: HeaderMap,
    /// The caller's credentials, which are sent only to an instance of another data centre.
    pub authorization: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl RouteRequest {
    /// Returns the digest of the method, service, path and body, which identifies retries of the same request.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let line = format!("{} {} {}\n", self.method, self.service, self.path);
        let mut content = line.into_bytes();
        content.extend_from_slice(&self.body);
        Digest::of(&content)
    }
}

/// Returns the headers without those of a single connection (hop-by-hop headers).
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
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
        forwarded.remove(name);
    }
    forwarded.remove("keep-alive");
    forwarded.remove(header_name::TRY_ID);
    forwarded
}
