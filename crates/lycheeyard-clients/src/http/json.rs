use super::{CallError, HttpReply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header::CONTENT_TYPE};
use serde::{Serialize, de::DeserializeOwned};
use std::net::SocketAddr;

/// Builds a request for [`super::JsonClient::send`], with a JSON body if one is given.
///
/// # Errors
/// Fails with [`CallError::Malformed`] when the path is invalid or the body cannot be serialized.
pub fn json_request<T: Serialize>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&T>,
) -> Result<Request<Full<Bytes>>, CallError> {
    let malformed = |reason: String| CallError::Malformed { address, reason };
    let body = body.map_or(Ok(Vec::new()), serde_json::to_vec);
    let body = body.map_err(|err| malformed(err.to_string()))?;
    Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|err| malformed(err.to_string()))
}

impl HttpReply {
    /// Decodes the JSON body of a response from `address`.
    ///
    /// # Errors
    /// Fails with [`CallError::Malformed`] when the body does not decode to `T`.
    pub fn decode<T: DeserializeOwned>(&self, address: SocketAddr) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|err| CallError::Malformed {
            address,
            reason: err.to_string(),
        })
    }
}
