use bytes::Bytes;
use hyper::{Request, body::Incoming, http::request::Parts};
use lycheeyard_clients::{BodyError, BodyLimits, RequestBody};
use lycheeyard_protocol::{Problem, ProblemKind};
use tokio::time::Instant;

const MAX_BODY_BYTES: usize = 1024 * 1024;
/// A body is kept once while its request is served.
const COPIES: usize = 1;
const RETRY_AFTER_S: u32 = 1;

/// Reads the body of a request to its end.
///
/// # Errors
/// Fails if the body is too large, does not arrive in time, cannot be read, or does not fit into the memory
/// for requests. The outcome is `not-run` in each case.
pub(super) async fn read_body(
    req: Request<Incoming>,
    deadline: Instant,
) -> Result<(Parts, Bytes), Problem> {
    let (parts, body) = req.into_parts();
    let body = RequestBody::new(body, &parts.headers, &parts.extensions);
    let limits = BodyLimits {
        max_bytes: MAX_BODY_BYTES,
        deadline,
        copies: COPIES,
    };
    let body = body.read(limits).await.map_err(|err| problem(&err))?;
    Ok((parts, body))
}

fn problem(err: &BodyError) -> Problem {
    let text = err.to_string();
    match err {
        BodyError::TooLarge(_) => Problem::not_run(ProblemKind::TooLarge, text),
        BodyError::TooSlow | BodyError::Broken(_) => {
            Problem::not_run(ProblemKind::BadRequest, text)
        }
        BodyError::NoMemory(_) => {
            Problem::not_run(ProblemKind::Overloaded, text).with_retry_after(RETRY_AFTER_S)
        }
    }
}
