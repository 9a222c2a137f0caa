use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::{Serialize, de::DeserializeOwned};

/// Parses a JSON body, passes it to `call` and returns the result as JSON; a malformed body gives status 400.
pub(crate) fn answer_json<T: DeserializeOwned, R: Serialize>(
    body: &Bytes,
    call: impl FnOnce(T) -> R,
) -> Response<Full<Bytes>> {
    match parse(body) {
        Ok(req) => json_reply(&call(req)),
        Err(err) => bad_request(&err.to_string()),
    }
}

/// Parses a JSON body.
pub(crate) fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, serde_json::Error> {
    serde_json::from_slice(body)
}

/// Builds a response with a JSON body.
pub(crate) fn json_reply<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Builds a response with status 400 and `reason` as its body.
pub(crate) fn bad_request(reason: &str) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::from(reason.to_owned())));
    *reply.status_mut() = StatusCode::BAD_REQUEST;
    reply
}

/// Builds a response with a status and no body.
pub(super) fn status_reply(status: StatusCode) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = status;
    reply
}
