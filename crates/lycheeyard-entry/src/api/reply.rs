use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use lycheeyard_protocol::{Outcome, Problem};
use lycheeyard_routing::{AnswerBody, header_name::OUTCOME};
use serde::Serialize;

/// An answer of the interface.
pub(super) type Reply = Response<AnswerBody>;

/// Makes a JSON answer to a call that was carried out.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Response::new(AnswerBody::whole(Bytes::from(body)));
    *reply.status_mut() = status;
    set(&mut reply, CONTENT_TYPE.as_str(), "application/json");
    set(&mut reply, OUTCOME, &Outcome::Done.to_string());
    reply
}

/// Makes an error answer.
pub(super) fn problem(problem: &Problem) -> Reply {
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let mut reply = Response::new(AnswerBody::whole(Bytes::from(body)));
    *reply.status_mut() = StatusCode::from_u16(problem.status).unwrap_or_default();
    set(
        &mut reply,
        CONTENT_TYPE.as_str(),
        "application/problem+json",
    );
    set(&mut reply, OUTCOME, &problem.outcome.to_string());
    if let Some(seconds) = problem.retry_after_s {
        set(&mut reply, RETRY_AFTER.as_str(), &seconds.to_string());
    }
    reply
}

/// Makes a plain text answer.
pub(super) fn text(status: StatusCode, text: &str) -> Reply {
    let mut reply = Response::new(AnswerBody::whole(Bytes::from(text.to_owned())));
    *reply.status_mut() = status;
    reply
}

/// Sets a header; values that no header can hold are left out.
pub(super) fn set(reply: &mut Reply, name: &str, value: &str) {
    let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        reply.headers_mut().insert(name, value);
    }
}
