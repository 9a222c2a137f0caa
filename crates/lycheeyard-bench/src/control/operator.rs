use super::ControlError;
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use lycheeyard_protocol::{Revision, Ticket};
use serde::Deserialize;
use std::net::SocketAddr;
use tokio::net::TcpStream;

#[derive(Deserialize)]
struct Accepted {
    revision: Revision,
}

/// Submits a ticket to an instance and returns the revision that it created.
///
/// # Errors
/// Fails when the call fails or the ticket is rejected.
pub async fn put_ticket(address: SocketAddr, ticket: &Ticket) -> Result<Revision, ControlError> {
    let call_error = |err: &dyn std::fmt::Display| ControlError::Call(err.to_string());
    let body = serde_json::to_vec(ticket).map_err(|err| call_error(&err))?;
    let stream = TcpStream::connect(address)
        .await
        .map_err(|err| call_error(&err))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|err| call_error(&err))?;
    let connection = tokio::spawn(connection);
    let req = Request::put(format!("/v1/tickets/{}", ticket.number))
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|err| call_error(&err))?;
    let response = sender
        .send_request(req)
        .await
        .map_err(|err| call_error(&err))?;
    let body_bytes = response
        .into_body()
        .collect()
        .await
        .map_err(|err| call_error(&err))?;
    connection.abort();
    let body_bytes = body_bytes.to_bytes();
    let accepted: Accepted = serde_json::from_slice(&body_bytes)
        .map_err(|_| call_error(&String::from_utf8_lossy(&body_bytes)))?;
    Ok(accepted.revision)
}
