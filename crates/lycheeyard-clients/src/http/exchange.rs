use super::{CallError, HttpReply, arrivals::Arrivals};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// The longest time without a byte while a long response arrives.
const MAX_BODY_SILENCE: Duration = Duration::from_secs(1);

/// Sends requests on one connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Opens a connection.
pub(super) async fn open(address: SocketAddr) -> Result<Sender, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| CallError::Connect(address))?;
    // Without TCP_NODELAY calls may be late, which is no reason to drop the connection.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::Connect(address))?;
    tokio::spawn(async move {
        // The call that uses the connection gets the error.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends a request and reads the head of the response.
pub(super) async fn send_head(
    sender: &mut Sender,
    mut req: Request<Full<Bytes>>,
    address: SocketAddr,
) -> Result<Response<Incoming>, CallError> {
    let host = HeaderValue::try_from(address.to_string());
    let host = host.map_err(|err| CallError::Malformed {
        address,
        reason: err.to_string(),
    })?;
    req.headers_mut().insert(HOST, host);
    let head = sender.send_request(req).await;
    head.map_err(|err| to_call_error(&err, address))
}

/// Reads the body of a response at whatever pace it arrives.
pub(super) async fn read_body(
    head: Response<Incoming>,
    address: SocketAddr,
) -> Result<HttpReply, CallError> {
    let status = head.status().as_u16();
    let body = head.into_body().collect().await;
    let body = body.map_err(|err| to_call_error(&err, address))?;
    Ok(HttpReply {
        status,
        body: body.to_bytes(),
    })
}

/// Reads a body for as long as it keeps arriving, and records the arrivals of its parts after the first one: most bodies have only one.
pub(super) async fn read_long_body(
    head: Response<Incoming>,
    address: SocketAddr,
    arrivals: &Arrivals,
) -> Result<HttpReply, CallError> {
    let status = head.status().as_u16();
    let mut incoming = head.into_body();
    let mut body = BytesMut::new();
    loop {
        let frame = timeout(MAX_BODY_SILENCE, incoming.frame()).await;
        let frame = frame.map_err(|_| CallError::NoResponse(address))?;
        let Some(frame) = frame else {
            return Ok(HttpReply {
                status,
                body: body.freeze(),
            });
        };
        let frame = frame.map_err(|err| to_call_error(&err, address))?;
        if let Ok(data) = frame.into_data() {
            if !body.is_empty() {
                arrivals.record(address);
            }
            body.extend_from_slice(&data);
        }
    }
}

/// A cancelled request was never sent; after any other error it may have been.
fn to_call_error(err: &hyper::Error, address: SocketAddr) -> CallError {
    if err.is_canceled() {
        CallError::Connect(address)
    } else {
        CallError::ConnectionLost(address)
    }
}
