use super::StandinError;
use crate::{FaultSettings, Faults, faults::ResponseAction};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    future::Future,
    net::{Ipv4Addr, SocketAddr},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const FAULTS_PATH: &str = "/standin/faults";
const SILENCE_PATH: &str = "/standin/silence";

/// Handles the HTTP calls to one stand-in.
pub trait JsonHandler: Clone + Send + Sync + 'static {
    /// Executes a call and returns its response.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Response<Full<Bytes>>> + Send;

    /// The maximum number of open connections; further ones are closed immediately.
    fn connection_limit(&self) -> Option<usize> {
        None
    }
}

/// A running HTTP server of a stand-in; dropping it stops the server.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    faults: Faults,
    stop: CancellationToken,
}

impl StandinServer {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub async fn start<H: JsonHandler>(handler: H, faults: Faults) -> Result<Self, StandinError> {
        let requested = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start_on(requested, handler, faults).await
    }

    /// Starts a server on the given address.
    ///
    /// # Errors
    /// Fails when the socket cannot be opened.
    pub async fn start_on<H: JsonHandler>(
        requested: SocketAddr,
        handler: H,
        faults: Faults,
    ) -> Result<Self, StandinError> {
        let listen_error = |source| StandinError::Listen {
            address: requested,
            source,
        };
        let listener = TcpListener::bind(requested).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, handler, faults.clone(), stop.clone()));
        Ok(Self {
            address,
            faults,
            stop,
        })
    }

    /// The address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The injected failures.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Stops the server and closes its connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept<H: JsonHandler>(
    listener: TcpListener,
    handler: H,
    faults: Faults,
    stop: CancellationToken,
) {
    let open = std::sync::Arc::new(());
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = stream else { continue };
        let over_limit = handler
            .connection_limit()
            .is_some_and(|limit| std::sync::Arc::strong_count(&open) > limit);
        if over_limit {
            continue;
        }
        let guard = open.clone();
        let connection = serve(stream, handler.clone(), faults.clone());
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection => {}
            }
            drop(guard);
        });
    }
}

async fn serve<H: JsonHandler>(stream: TcpStream, handler: H, faults: Faults) {
    let _ = stream.set_nodelay(true);
    let number = faults.open_connection();
    let service = service_fn(move |req| answer(req, handler.clone(), faults.clone(), number));
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer<H: JsonHandler>(
    req: Request<Incoming>,
    handler: H,
    faults: Faults,
    connection: u64,
) -> Result<Response<Full<Bytes>>, StandinError> {
    let (parts, body) = req.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(bad_request("the body broke off"));
    };
    let req = Request::from_parts(parts, body.to_bytes());
    match req.uri().path() {
        FAULTS_PATH => return Ok(set_faults(&faults, req.body())),
        SILENCE_PATH => {
            faults.silence_open_connections();
            return Ok(json_reply(&faults.settings()));
        }
        _ => {}
    }
    hang_if_silenced(&faults, connection).await;
    faults.wait_while_paused().await;
    if faults.is_down() {
        return Ok(status_reply(StatusCode::SERVICE_UNAVAILABLE));
    }
    let reply = handler.handle(req).await;
    faults.delay_response().await;
    hang_if_silenced(&faults, connection).await;
    match faults.next_response_action() {
        ResponseAction::Send => Ok(reply),
        ResponseAction::Drop => Err(StandinError::AnswerDropped),
    }
}

async fn hang_if_silenced(faults: &Faults, connection: u64) {
    if faults.is_silent(connection) {
        std::future::pending::<()>().await;
    }
}

fn set_faults(faults: &Faults, body: &Bytes) -> Response<Full<Bytes>> {
    if body.is_empty() {
        return json_reply(&faults.settings());
    }
    match parse::<FaultSettings>(body) {
        Ok(settings) => {
            faults.set(settings);
            json_reply(&faults.settings())
        }
        Err(err) => bad_request(&err.to_string()),
    }
}

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
    let json = hyper::header::HeaderValue::from_static("application/json");
    reply
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    reply
}

/// Builds a response with status 400 and `reason` as its body.
pub(crate) fn bad_request(reason: &str) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::from(reason.to_owned())));
    *reply.status_mut() = StatusCode::BAD_REQUEST;
    reply
}

fn status_reply(status: StatusCode) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = status;
    reply
}
