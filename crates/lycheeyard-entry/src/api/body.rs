use crate::node::Shared;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    body::{Body, Incoming},
};
use lycheeyard_protocol::{Problem, ProblemKind};
use std::{ops::Deref, time::Duration};
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, timeout_at},
};

const MAX_BODY_BYTES: usize = 1024 * 1024;
/// The unit in which the memory for bodies is shared out.
const UNIT_BYTES: usize = 1024;
/// The memory for all bodies that are held, in units.
pub(crate) const BODY_UNITS: usize = 48 * 1024;
/// The longest time that a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A body with the memory that is counted for it.
#[derive(Debug)]
pub(super) struct HeldBody {
    bytes: Bytes,
    _units: Option<OwnedSemaphorePermit>,
}

impl Deref for HeldBody {
    type Target = Bytes;

    fn deref(&self) -> &Bytes {
        &self.bytes
    }
}

/// Reads a body whole.
///
/// # Errors
/// Fails when it is too large, comes too slowly or there is no memory for it; nothing was run.
pub(super) async fn read_body(
    body: Incoming,
    headers: &HeaderMap,
    deadline: Instant,
    shared: &Shared,
) -> Result<HeldBody, Problem> {
    if body.is_end_stream() {
        return Ok(HeldBody {
            bytes: Bytes::new(),
            _units: None,
        });
    }
    let expected = declared_length(headers);
    if expected.is_some_and(|len| len > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    let until = deadline.min(Instant::now() + BODY_TIMEOUT);
    let held = timeout_at(until, collect(body, shared)).await;
    let too_slow = |_| {
        let text = "the body did not arrive in time".to_owned();
        Problem::not_run(ProblemKind::BadRequest, text)
    };
    held.map_err(too_slow)?
}

/// Reads frames; memory is counted as it is filled, so that a stalled sender holds only what it has sent.
async fn collect(mut body: Incoming, shared: &Shared) -> Result<HeldBody, Problem> {
    let mut units = take_units(1, shared)?;
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| {
            let text = format!("the body cannot be read: {err}");
            Problem::not_run(ProblemKind::BadRequest, text)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > MAX_BODY_BYTES {
            return Err(too_large());
        }
        let missing = len.div_ceil(UNIT_BYTES).saturating_sub(units.num_permits());
        if missing > 0 {
            units.merge(take_units(missing, shared)?);
        }
        if buf.is_empty() && body.is_end_stream() {
            return Ok(held(data, units));
        }
        buf.extend_from_slice(&data);
    }
    Ok(held(buf.freeze(), units))
}

fn held(bytes: Bytes, units: OwnedSemaphorePermit) -> HeldBody {
    HeldBody {
        bytes,
        _units: Some(units),
    }
}

fn take_units(units: usize, shared: &Shared) -> Result<OwnedSemaphorePermit, Problem> {
    const RETRY_AFTER_S: u32 = 1;
    let units = u32::try_from(units).unwrap_or(u32::MAX);
    let taken = shared.body_memory.clone().try_acquire_many_owned(units);
    taken.map_err(|_| {
        let text = "there is no memory left for bodies".to_owned();
        Problem::not_run(ProblemKind::Overloaded, text).with_retry_after(RETRY_AFTER_S)
    })
}

fn declared_length(headers: &HeaderMap) -> Option<usize> {
    let value = headers.get(hyper::header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn too_large() -> Problem {
    let text = format!("the body is larger than {MAX_BODY_BYTES} bytes");
    Problem::not_run(ProblemKind::TooLarge, text)
}
