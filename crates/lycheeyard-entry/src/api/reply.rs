use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use lycheeyard_protocol::{Outcome, Problem};
use lycheeyard_routing::{AnswerBody, header_name::OUTCOME};
use serde::Serialize;
use tracing::warn;

/// An HTTP response of this interface.
pub(super) type Reply = Response<AnswerBody>;

/// Builds a JSON response with the outcome `done`.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let mut reply = Response::new(encode(value));
    *reply.status_mut() = status;
    set_header(&mut reply, CONTENT_TYPE.as_str(), "application/json");
    set_header(&mut reply, OUTCOME, &Outcome::Done.to_string());
    reply
}

/// Builds an error response as `application/problem+json`.
pub(super) fn problem(problem: &Problem) -> Reply {
    let mut reply = Response::new(encode(problem));
    *reply.status_mut() = StatusCode::from_u16(problem.status).unwrap_or_default();
    set_header(
        &mut reply,
        CONTENT_TYPE.as_str(),
        "application/problem+json",
    );
    set_header(&mut reply, OUTCOME, &problem.outcome.to_string());
    if let Some(seconds) = problem.retry_after_s {
        set_header(&mut reply, RETRY_AFTER.as_str(), &seconds.to_string());
    }
    reply
}

/// Encodes a body as JSON. A value without a JSON form gives an empty body and a log line.
fn encode<T: Serialize>(value: &T) -> AnswerBody {
    let body = serde_json::to_vec(value).unwrap_or_else(|err| {
        warn!("entry: failed to encode a response: {err}");
        Vec::new()
    });
    AnswerBody::from_bytes(Bytes::from(body))
}

/// Builds a plain text response.
pub(super) fn text(status: StatusCode, text: &str) -> Reply {
    let mut reply = Response::new(AnswerBody::from_bytes(Bytes::from(text.to_owned())));
    *reply.status_mut() = status;
    reply
}

/// Sets a header. A name or value that is not valid in HTTP is skipped.
pub(super) fn set_header(reply: &mut Reply, name: &str, value: &str) {
    let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        reply.headers_mut().insert(name, value);
    }
}
