use crate::{access_key::AccessKey, error::CliError};
use bytes::Bytes;
use error_stack::Report;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    client::conn::http1,
    header::{AUTHORIZATION, HOST},
};
use hyper_util::rt::TokioIo;
use lycheeyard_protocol::Problem;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete HTTP response of an entry instance.
pub struct Response {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

/// An HTTP client of one entry instance; it opens a connection for each call.
#[derive(Clone, Debug)]
pub struct ApiClient {
    address: SocketAddr,
    key: Option<AccessKey>,
}

impl ApiClient {
    /// Creates a client of the entry instance at `address`, without an access key.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, key: None }
    }

    /// Sends the access key with every call.
    #[must_use]
    pub fn with_key(mut self, key: Option<AccessKey>) -> Self {
        self.key = key;
        self
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    /// Fails when the instance is unreachable, rejects the call or sends an invalid response.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, Report<CliError>> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a PUT request with a JSON body and decodes the JSON response.
    ///
    /// # Errors
    /// Fails when the instance is unreachable, rejects the call or sends an invalid response.
    pub async fn put<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, Report<CliError>> {
        let body = serde_json::to_vec(body).map_err(|err| self.malformed(err.to_string()))?;
        self.call(Method::PUT, path, Bytes::from(body)).await
    }

    /// Sends a DELETE request and decodes the JSON response.
    ///
    /// # Errors
    /// Fails when the instance is unreachable, rejects the call or sends an invalid response.
    pub async fn delete<R: DeserializeOwned>(&self, path: &str) -> Result<R, Report<CliError>> {
        self.call(Method::DELETE, path, Bytes::new()).await
    }

    /// Sends a request and returns the response with any status.
    ///
    /// # Errors
    /// Fails when the instance is unreachable or does not respond within 30 seconds.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response, Report<CliError>> {
        let result = timeout(REQUEST_TIMEOUT, self.exchange(req)).await;
        result
            .unwrap_or_else(|_| Err(self.unreachable("no response before the timeout".to_owned())))
    }

    async fn call<R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<R, Report<CliError>> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .body(Full::new(body))
            .map_err(|err| self.malformed(err.to_string()))?;
        let response = self.send(req).await?;
        if !response.status.is_success() {
            return Err(self.read_problem(&response));
        }
        serde_json::from_slice(&response.body).map_err(|err| self.malformed(err.to_string()))
    }

    async fn exchange(&self, mut req: Request<Full<Bytes>>) -> Result<Response, Report<CliError>> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|err| self.unreachable(err.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| self.unreachable(err.to_string()))?;
        tokio::spawn(connection);
        if let Ok(host) = self.address.to_string().parse() {
            req.headers_mut().insert(HOST, host);
        }
        if let Some(key) = &self.key {
            req.headers_mut()
                .insert(AUTHORIZATION, key.authorization_header()?);
        }
        let connection_lost = |err: hyper::Error| self.unreachable(err.to_string());
        let response = sender.send_request(req).await.map_err(connection_lost)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(connection_lost)?.to_bytes();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Decodes the problem document of a rejected call.
    pub fn read_problem(&self, response: &Response) -> Report<CliError> {
        match serde_json::from_slice::<Problem>(&response.body) {
            Ok(problem) => Report::new(CliError::Problem(problem)),
            Err(_) => self.malformed(format!("status {}", response.status)),
        }
    }

    fn unreachable(&self, reason: String) -> Report<CliError> {
        Report::new(CliError::Unreachable {
            address: self.address.to_string(),
            reason,
        })
    }

    fn malformed(&self, reason: String) -> Report<CliError> {
        Report::new(CliError::Malformed {
            address: self.address.to_string(),
            reason,
        })
    }
}
