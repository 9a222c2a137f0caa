use crate::connections::{ClientLimits, Connection, HoldError};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    body::{Body, Incoming},
    header::CONTENT_LENGTH,
    http::Extensions,
};
use std::future::pending;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// The smallest buffer for a body, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Why the body of a request was not read to its end. The request has had no effect.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// There is no memory for the body.
    #[error(transparent)]
    NoMemory(#[from] HoldError),
    /// The client broke off, or the body is malformed.
    #[error("the body cannot be read: {0}")]
    Broken(#[from] hyper::Error),
}

/// How a body is read.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The size of the body, in bytes.
    pub max_bytes: usize,
    /// The body has to have arrived by then. The time limit for clients applies as well.
    pub deadline: Instant,
    /// How many times its own size a body takes while its request is served.
    pub copies: usize,
}

/// The body of a request that has not been read yet.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    declared_bytes: Option<usize>,
    /// The connection on which the body arrives; `None` if it is not one of a [`super::HttpServer`].
    connection: Option<Connection>,
}

impl RequestBody {
    /// Prepares to read the body of a request with these headers and extensions.
    #[must_use]
    pub fn new(body: Incoming, headers: &HeaderMap, extensions: &Extensions) -> Self {
        let declared = headers.get(CONTENT_LENGTH);
        Self {
            body,
            declared_bytes: declared.and_then(|value| value.to_str().ok()?.parse().ok()),
            connection: extensions.get::<Connection>().cloned(),
        }
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    /// Fails with [`BodyError`]; the request has then to be refused.
    pub async fn read(self, limits: BodyLimits) -> Result<Bytes, BodyError> {
        if self
            .declared_bytes
            .is_some_and(|len| len > limits.max_bytes)
        {
            return Err(BodyError::TooLarge(limits.max_bytes));
        }
        let client = self.connection.as_ref().map(Connection::limits);
        let client: ClientLimits = client.unwrap_or_default();
        let deadline = limits.deadline.min(Instant::now() + client.body_timeout);
        let connection = self.connection.clone();
        let refused = async {
            match connection {
                Some(connection) => connection.refused().await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = refused => Err(BodyError::NoMemory(HoldError)),
            read = timeout_at(deadline, self.collect(limits)) => {
                read.map_err(|_| BodyError::TooSlow)?
            }
        }
    }

    /// Copies the data into one buffer, which grows as data arrives: a frame may hold far more memory than its data.
    async fn collect(mut self, limits: BodyLimits) -> Result<Bytes, BodyError> {
        let mut buf = Vec::new();
        while !self.body.is_end_stream() {
            let Some(frame) = self.body.frame().await else {
                break;
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let len = buf.len() + data.len();
            if len > limits.max_bytes {
                return Err(BodyError::TooLarge(limits.max_bytes));
            }
            if len > buf.capacity() {
                let capacity = grown_capacity(&buf, len).min(limits.max_bytes);
                self.hold(capacity).await?;
                buf.reserve_exact(capacity - buf.len());
            }
            buf.extend_from_slice(&data);
        }
        if let Some(connection) = &self.connection {
            let bytes = buf.len().saturating_mul(limits.copies);
            connection.begin_serving(bytes.max(buf.capacity())).await?;
        }
        Ok(Bytes::from(buf))
    }

    async fn hold(&self, bytes: usize) -> Result<(), HoldError> {
        match &self.connection {
            Some(connection) => connection.hold_body(bytes).await,
            None => Ok(()),
        }
    }
}

/// The capacity of a buffer that has to hold `len` bytes, with room for more.
fn grown_capacity(buf: &Vec<u8>, len: usize) -> usize {
    len.max(buf.capacity() * 2).max(MIN_BUFFER_BYTES)
}
