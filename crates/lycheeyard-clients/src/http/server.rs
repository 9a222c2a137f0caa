use super::response_body::ResponseBody;
use crate::connections::{
    ClientLimits, Connection, Connections, ListenerKind, ListenerLimits, ProcessLimits,
    WatchedStream,
};
use http_body::Body;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use std::{convert::Infallible, error::Error, future::Future, time::Duration};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep_until},
};

const MAX_HEADERS: usize = 100;
/// The smallest buffer for heads that hyper takes, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// How long a request that is arriving may take further once the server shuts down.
const SHUTDOWN_ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// Handles HTTP requests.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// The type of response bodies.
    type Body: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static;

    /// Returns the response to one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<Self::Body>> + Send;

    /// What the client of a connection that is accepted now may do.
    fn client_limits(&self) -> ClientLimits {
        ClientLimits::default()
    }
}

/// An HTTP/1.1 server with graceful shutdown.
pub struct HttpServer<H> {
    handler: H,
    graceful: GracefulShutdown,
    connections: Connections,
    limits: ListenerLimits,
}

impl<H: HttpHandler> HttpServer<H> {
    /// Creates a server without connections, for a process that has no other one.
    #[must_use]
    pub fn new(handler: H) -> Self {
        let limits = ProcessLimits::default();
        let connections = Connections::new(limits.request_bytes);
        Self::with_limits(handler, connections, limits.listener(ListenerKind::Clients))
    }

    /// Creates a server whose connections count among those of the process.
    #[must_use]
    pub fn with_limits(handler: H, connections: Connections, limits: ListenerLimits) -> Self {
        Self {
            handler,
            graceful: GracefulShutdown::new(),
            connections,
            limits,
        }
    }

    /// Accepts connections until `end` completes. Open connections are still served after that.
    pub async fn accept_until(&self, listener: &TcpListener, end: impl Future<Output = ()>) {
        let client_limits = || self.handler.client_limits();
        let serve = |stream| {
            let handler = self.handler.clone();
            let respond = move |req| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.handle(req).await) }
            };
            serve_connection(stream, self.graceful.watcher(), respond)
        };
        self.connections
            .accept_until(listener, self.limits, end, client_limits, serve)
            .await;
    }

    /// Closes idle connections and waits until all requests in flight have their responses. A request that does not arrive as a whole soon is
    /// not waited for.
    pub async fn shut_down(self) {
        let arrival_deadline = Instant::now() + SHUTDOWN_ARRIVAL_TIME;
        let closing = async {
            sleep_until(arrival_deadline).await;
            self.connections.close_incomplete(self.limits.kind);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = self.graceful.shutdown() => {}
            () = closing => {}
        }
    }
}

/// Serves the requests on one connection, one after the other. An error of `respond` ends the connection without a response.
pub async fn serve_connection<F, S, B, E>(stream: WatchedStream, watcher: Watcher, respond: F)
where
    F: Fn(Request<Incoming>) -> S + Clone + Send + 'static,
    S: Future<Output = Result<Response<B>, E>> + Send,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
    E: Into<Box<dyn Error + Send + Sync>>,
{
    let connection = stream.connection().clone();
    // An error here or below means that the client disconnected; nothing is left to do.
    let has_begun = stream.wait_for_request().await.unwrap_or(false);
    if !has_begun || connection.hold_overhead().await.is_err() {
        return;
    }
    let max_head_bytes = connection.limits().max_head_bytes.max(MIN_HEAD_BYTES);
    let service = service_fn(move |req| {
        // The state of a request is large, and an idle connection does not need it.
        Box::pin(serve_request(connection.clone(), respond.clone(), req))
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_headers(MAX_HEADERS)
        .max_buf_size(max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    // The state of the connection is large, and one without a request does not need it.
    let _ = Box::pin(watcher.watch(served)).await;
}

async fn serve_request<F, S, B, E>(
    connection: Connection,
    respond: F,
    mut req: Request<Incoming>,
) -> Result<Response<ResponseBody<B>>, E>
where
    F: Fn(Request<Incoming>) -> S,
    S: Future<Output = Result<Response<B>, E>>,
    B: Body,
{
    if req.body().is_end_stream() {
        connection.record_whole_request();
    } else {
        connection.record_head();
    }
    req.extensions_mut().insert(connection.clone());
    let mut response = respond(req).await?;
    if connection.is_to_end() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let response_bytes = response.body().size_hint().lower();
    connection.hold_response(usize::try_from(response_bytes).unwrap_or(usize::MAX));
    Ok(response.map(|body| ResponseBody::new(body, connection)))
}
