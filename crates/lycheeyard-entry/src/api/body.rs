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
/// The size of the memory, in bytes, that one permit of `Shared::body_memory` represents.
const PERMIT_BYTES: usize = 1024;
/// The number of permits for all buffered request bodies together: 48 MiB.
pub(crate) const BODY_MEMORY_PERMITS: usize = 48 * 1024;
/// The longest time that a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A buffered request body with the memory permits reserved for it, released on drop.
#[derive(Debug)]
pub(super) struct BufferedBody {
    bytes: Bytes,
    _permits: Option<OwnedSemaphorePermit>,
}

impl Deref for BufferedBody {
    type Target = Bytes;

    fn deref(&self) -> &Bytes {
        &self.bytes
    }
}

/// Reads a request body to its end.
///
/// # Errors
/// Fails if the body is too large, does not arrive in time, cannot be read, or does not fit into the memory
/// for bodies. The outcome is `not-run` in each case.
pub(super) async fn read_body(
    body: Incoming,
    headers: &HeaderMap,
    deadline: Instant,
    shared: &Shared,
) -> Result<BufferedBody, Problem> {
    if body.is_end_stream() {
        return Ok(BufferedBody {
            bytes: Bytes::new(),
            _permits: None,
        });
    }
    let declared = content_length(headers);
    if declared.is_some_and(|len| len > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    let until = deadline.min(Instant::now() + BODY_TIMEOUT);
    let buffered = timeout_at(until, collect(body, shared)).await;
    let too_slow = |_| {
        let text = "the body did not arrive in time".to_owned();
        Problem::not_run(ProblemKind::BadRequest, text)
    };
    buffered.map_err(too_slow)?
}

/// Collects the frames of a body.
///
/// Reserves memory as data arrives rather than by the declared length, so that a stalled sender occupies only
/// the memory for what it has sent.
async fn collect(mut body: Incoming, shared: &Shared) -> Result<BufferedBody, Problem> {
    let mut permits = acquire_permits(1, shared)?;
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
        let missing = len
            .div_ceil(PERMIT_BYTES)
            .saturating_sub(permits.num_permits());
        if missing > 0 {
            permits.merge(acquire_permits(missing, shared)?);
        }
        if buf.is_empty() && body.is_end_stream() {
            return Ok(buffered(data, permits));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buffered(buf.freeze(), permits))
}

fn buffered(bytes: Bytes, permits: OwnedSemaphorePermit) -> BufferedBody {
    BufferedBody {
        bytes,
        _permits: Some(permits),
    }
}

fn acquire_permits(count: usize, shared: &Shared) -> Result<OwnedSemaphorePermit, Problem> {
    const RETRY_AFTER_S: u32 = 1;
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let acquired = shared.body_memory.clone().try_acquire_many_owned(count);
    acquired.map_err(|_| {
        let text = "there is no memory left for bodies".to_owned();
        Problem::not_run(ProblemKind::Overloaded, text).with_retry_after(RETRY_AFTER_S)
    })
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    let value = headers.get(hyper::header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn too_large() -> Problem {
    let text = format!("the body is larger than {MAX_BODY_BYTES} bytes");
    Problem::not_run(ProblemKind::TooLarge, text)
}
