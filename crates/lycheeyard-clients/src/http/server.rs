use http_body::Body;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::{convert::Infallible, error::Error, future::Future, time::Duration};
use tokio::net::{TcpListener, TcpStream};

const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADERS: usize = 100;
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// The delay before `accept` is retried after a failure, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles HTTP requests.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// The type of response bodies.
    type Body: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static;

    /// Returns the response to one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// An HTTP/1.1 server with graceful shutdown.
pub struct HttpServer<H> {
    handler: H,
    graceful: GracefulShutdown,
}

impl<H: HttpHandler> HttpServer<H> {
    /// Creates a server without connections.
    #[must_use]
    pub fn new(handler: H) -> Self {
        Self {
            handler,
            graceful: GracefulShutdown::new(),
        }
    }

    /// Accepts connections until `end` completes. Open connections are still served after that.
    pub async fn accept_until(&self, listener: &TcpListener, end: impl Future<Output = ()>) {
        tokio::pin!(end);
        loop {
            let accepted = tokio::select! {
                () = &mut end => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Closes idle connections and waits until all requests in flight have their responses.
    pub async fn shut_down(self) {
        self.graceful.shutdown().await;
    }

    fn serve(&self, stream: TcpStream) {
        // Without TCP_NODELAY responses may be late, which is no reason to drop the connection.
        let _ = stream.set_nodelay(true);
        let handler = self.handler.clone();
        let service = service_fn(move |req| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.handle(req).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_headers(MAX_HEADERS)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let connection = self.graceful.watch(connection);
        tokio::spawn(async move {
            // An error here means that the client disconnected; nothing is left to do.
            let _ = connection.await;
        });
    }
}
