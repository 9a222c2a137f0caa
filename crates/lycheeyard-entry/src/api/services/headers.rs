use crate::api::tickets::bad_request;
use hyper::HeaderMap;
use lycheeyard_protocol::{IdempotencyKey, OrganisationId, Problem, ProblemKind};
use lycheeyard_routing::{CONTROL_HEADERS, header_name};
use std::{str::FromStr, time::Duration};
use tokio::time::Instant;

const CONTROL_PREFIX: &str = "lycheeyard-";
const DEFAULT_DEADLINE_MS: u64 = 10_000;
const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The bytes of a header line besides its name and value: colon, space and line end.
const LINE_OVERHEAD_BYTES: usize = 4;

/// The values of a request's control headers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ControlHeaders {
    pub organisation: OrganisationId,
    pub deadline: Instant,
    /// The idempotency key; `None` for an idempotent request.
    pub key: Option<IdempotencyKey>,
    /// Whether an entry instance of another data centre forwarded the request.
    pub is_forwarded: bool,
}

/// Parses and validates the headers of a request.
///
/// # Errors
/// Fails if the headers are too large, if a required control header is missing, or if a control header is
/// unknown, repeated or invalid.
pub(super) fn parse(headers: &HeaderMap) -> Result<ControlHeaders, Problem> {
    check_size(headers)?;
    check_control_names(headers)?;
    let organisation: Option<OrganisationId> = parse_control(headers, header_name::ORGANISATION)?;
    let organisation = organisation.ok_or_else(|| missing_header(header_name::ORGANISATION))?;
    let deadline_ms = parse_control(headers, header_name::DEADLINE)?.unwrap_or(DEFAULT_DEADLINE_MS);
    if deadline_ms == 0 || deadline_ms > MAX_DEADLINE_MS {
        let name = header_name::DEADLINE;
        let text = format!("the header {name} must be from 1 to {MAX_DEADLINE_MS}");
        return Err(bad_request(text));
    }
    Ok(ControlHeaders {
        organisation,
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        key: parse_idempotency_key(headers)?,
        is_forwarded: parse_control::<u8>(headers, header_name::HOP)?.is_some(),
    })
}

/// The idempotency key of a non-idempotent request.
///
/// A request that has a key but does not state whether it is idempotent counts as non-idempotent.
fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Problem> {
    let key: Option<IdempotencyKey> = parse_control(headers, header_name::IDEMPOTENCY_KEY)?;
    let idempotent = parse_control(headers, header_name::IDEMPOTENT)?;
    match (key, idempotent) {
        (None, Some(false)) => Err(missing_header(header_name::IDEMPOTENCY_KEY)),
        (_, Some(true)) | (None, None) => Ok(None),
        (Some(key), Some(false) | None) => Ok(Some(key)),
    }
}

fn check_size(headers: &HeaderMap) -> Result<(), Problem> {
    let line = |name: &str, value: &[u8]| name.len() + value.len() + LINE_OVERHEAD_BYTES;
    let sizes = headers
        .iter()
        .map(|(name, value)| line(name.as_str(), value.as_bytes()));
    if sizes.sum::<usize>() > MAX_HEADER_BYTES {
        let text = format!("the headers are larger than {MAX_HEADER_BYTES} bytes");
        return Err(Problem::not_run(ProblemKind::TooLarge, text));
    }
    Ok(())
}

fn check_control_names(headers: &HeaderMap) -> Result<(), Problem> {
    let mut names = headers.keys().map(hyper::header::HeaderName::as_str);
    let is_unknown =
        |name: &&str| name.starts_with(CONTROL_PREFIX) && !CONTROL_HEADERS.contains(name);
    match names.find(is_unknown) {
        Some(name) => Err(bad_request(format!("the header {name} is not known"))),
        None => Ok(()),
    }
}

/// Parses a control header that may occur at most once.
fn parse_control<T: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        let text = format!("the header {name} stands more than once");
        return Err(bad_request(text));
    }
    let text = value.to_str().unwrap_or_default();
    let parsed = text.parse();
    parsed
        .map(Some)
        .map_err(|_| bad_request(format!("the header {name} cannot be `{text}`")))
}

fn missing_header(name: &str) -> Problem {
    bad_request(format!("the header {name} is required"))
}
