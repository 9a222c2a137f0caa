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

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A whole answer of an entry instance.
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Calls one entry instance.
#[derive(Clone, Debug)]
pub struct ApiClient {
    address: SocketAddr,
    key: Option<AccessKey>,
}

impl ApiClient {
    /// Makes a client of the entry instance at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, key: None }
    }

    /// Presents a key with every call.
    #[must_use]
    pub fn with_key(mut self, key: Option<AccessKey>) -> Self {
        self.key = key;
        self
    }

    /// Reads an object.
    ///
    /// # Errors
    /// Fails when the instance is out of reach or refuses.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, Report<CliError>> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Puts an object.
    ///
    /// # Errors
    /// Fails when the instance is out of reach or refuses.
    pub async fn put<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<R, Report<CliError>> {
        let body = serde_json::to_vec(body).map_err(|err| self.malformed(err.to_string()))?;
        self.call(Method::PUT, path, Bytes::from(body)).await
    }

    /// Deletes an object.
    ///
    /// # Errors
    /// Fails when the instance is out of reach or refuses.
    pub async fn delete<R: DeserializeOwned>(&self, path: &str) -> Result<R, Report<CliError>> {
        self.call(Method::DELETE, path, Bytes::new()).await
    }

    /// Sends a request and gives the answer as it is.
    ///
    /// # Errors
    /// Fails when the instance is out of reach.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Answer, Report<CliError>> {
        let exchange = timeout(CALL_TIMEOUT, self.exchange(req)).await;
        exchange.unwrap_or_else(|_| Err(self.out_of_reach("no answer in time".to_owned())))
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
        let answer = self.send(req).await?;
        if !answer.status.is_success() {
            return Err(self.read_problem(&answer));
        }
        serde_json::from_slice(&answer.body).map_err(|err| self.malformed(err.to_string()))
    }

    async fn exchange(&self, mut req: Request<Full<Bytes>>) -> Result<Answer, Report<CliError>> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|err| self.out_of_reach(err.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| self.out_of_reach(err.to_string()))?;
        tokio::spawn(connection);
        if let Ok(host) = self.address.to_string().parse() {
            req.headers_mut().insert(HOST, host);
        }
        if let Some(key) = &self.key {
            req.headers_mut().insert(AUTHORIZATION, key.header()?);
        }
        let lost = |err: hyper::Error| self.out_of_reach(err.to_string());
        let reply = sender.send_request(req).await.map_err(lost)?;
        let (parts, body) = reply.into_parts();
        let body = body.collect().await.map_err(lost)?.to_bytes();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Reads the problem of a refused call.
    pub fn read_problem(&self, answer: &Answer) -> Report<CliError> {
        match serde_json::from_slice::<Problem>(&answer.body) {
            Ok(problem) => Report::new(CliError::Problem(problem)),
            Err(_) => self.malformed(format!("status {}", answer.status)),
        }
    }

    fn out_of_reach(&self, reason: String) -> Report<CliError> {
        Report::new(CliError::OutOfReach {
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
