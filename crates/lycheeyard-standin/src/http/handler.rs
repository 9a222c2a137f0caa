use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use std::future::Future;

/// Handles the HTTP calls to one stand-in.
pub trait JsonHandler: Clone + Send + Sync + 'static {
    /// Executes a call and returns its response.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Response<Full<Bytes>>> + Send;

    /// The maximum number of open connections; further ones are closed immediately.
    fn connection_limit(&self) -> Option<usize> {
        None
    }
}
