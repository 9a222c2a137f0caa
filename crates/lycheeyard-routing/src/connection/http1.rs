use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::{task::AbortHandle, time::Instant};

/// A connection to an upstream with at most one request in flight; dropping it closes its socket.
#[derive(Debug)]
pub(crate) struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    /// When the connection was opened or last carried a complete answer.
    pub verified_at: Instant,
    driver: AbortHandle,
}

impl Connection {
    pub fn new(sender: SendRequest<Full<Bytes>>, driver: AbortHandle, opened_at: Instant) -> Self {
        Self {
            sender,
            verified_at: opened_at,
            driver,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
