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
/// What a header line takes beside its name and value.
const LINE_OVERHEAD_BYTES: usize = 4;

/// What the headers of a request say to this system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ControlHeaders {
    pub organisation: OrganisationId,
    pub deadline: Instant,
    pub key: Option<IdempotencyKey>,
    pub hopped: bool,
}

/// Reads and checks the headers of a request.
///
/// # Errors
/// Fails when they are too large, contradict each other, or hold an unknown or repeated control header.
pub(super) fn read(headers: &HeaderMap) -> Result<ControlHeaders, Problem> {
    check_size(headers)?;
    check_names(headers)?;
    let organisation: Option<OrganisationId> = control(headers, header_name::ORGANISATION)?;
    let organisation = organisation.ok_or_else(|| missing(header_name::ORGANISATION))?;
    let deadline_ms = control(headers, header_name::DEADLINE)?.unwrap_or(DEFAULT_DEADLINE_MS);
    if deadline_ms == 0 || deadline_ms > MAX_DEADLINE_MS {
        let name = header_name::DEADLINE;
        let text = format!("the header {name} must be from 1 to {MAX_DEADLINE_MS}");
        return Err(bad_request(text));
    }
    Ok(ControlHeaders {
        organisation,
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        key: read_key(headers)?,
        hopped: control::<u8>(headers, header_name::HOP)?.is_some(),
    })
}

/// The key of a non-idempotent request; a key without a statement makes a request non-idempotent.
fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Problem> {
    let key: Option<IdempotencyKey> = control(headers, header_name::IDEMPOTENCY_KEY)?;
    let idempotent = control(headers, header_name::IDEMPOTENT)?;
    match (key, idempotent) {
        (None, Some(false)) => Err(missing(header_name::IDEMPOTENCY_KEY)),
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

fn check_names(headers: &HeaderMap) -> Result<(), Problem> {
    let mut names = headers.keys().map(hyper::header::HeaderName::as_str);
    let is_unknown =
        |name: &&str| name.starts_with(CONTROL_PREFIX) && !CONTROL_HEADERS.contains(name);
    match names.find(is_unknown) {
        Some(name) => Err(bad_request(format!("the header {name} is not known"))),
        None => Ok(()),
    }
}

/// Reads a control header that may stand once.
fn control<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, Problem> {
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

fn missing(name: &str) -> Problem {
    bad_request(format!("the header {name} is required"))
}
