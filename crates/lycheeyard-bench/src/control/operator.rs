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

/// Submits a ticket at an instance and gives the revision that it made.
///
/// # Errors
/// Fails when the ticket is not accepted.
pub async fn put_ticket(address: SocketAddr, ticket: &Ticket) -> Result<Revision, ControlError> {
    let call = |err: &dyn std::fmt::Display| ControlError::Call(err.to_string());
    let body = serde_json::to_vec(ticket).map_err(|err| call(&err))?;
    let stream = TcpStream::connect(address)
        .await
        .map_err(|err| call(&err))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|err| call(&err))?;
    let connection = tokio::spawn(connection);
    let req = Request::put(format!("/v1/tickets/{}", ticket.number))
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|err| call(&err))?;
    let reply = sender.send_request(req).await.map_err(|err| call(&err))?;
    let answer = reply
        .into_body()
        .collect()
        .await
        .map_err(|err| call(&err))?;
    connection.abort();
    let answer = answer.to_bytes();
    let accepted: Accepted =
        serde_json::from_slice(&answer).map_err(|_| call(&String::from_utf8_lossy(&answer)))?;
    Ok(accepted.revision)
}
