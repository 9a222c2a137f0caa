//! Calls on reused connections while a link is busy with a long response.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use lycheeyard_clients::{CallError, ConnectionReuse, HttpReply, JsonClient, json_request};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// How long a call on a reused connection waits.
const REUSE_LIMIT: Duration = Duration::from_millis(200);
/// How long the answer to `/slow` takes.
const SLOW: Duration = Duration::from_millis(700);
const LONG_BODY_BYTES: usize = 60;
const BYTE_PAUSE: Duration = Duration::from_millis(25);

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("port is free");
    let address = listener.local_addr().expect("address is known");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Answers the requests of one connection until the client closes it.
async fn serve(mut stream: TcpStream) {
    let mut buf = [0; 1024];
    while let Ok(read @ 1..) = stream.read(&mut buf).await {
        let req = String::from_utf8_lossy(&buf[..read]).into_owned();
        if req.contains("/slow") {
            sleep(SLOW).await;
        }
        let length = if req.contains("/long") {
            LONG_BODY_BYTES
        } else {
            1
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
        for _ in 0..length {
            let _ = stream.write_all(b"1").await;
            sleep(BYTE_PAUSE).await;
        }
    }
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(3)
}

fn request(address: SocketAddr, path: &str) -> hyper::Request<Full<Bytes>> {
    json_request::<()>(address, Method::GET, path, None).expect("request is valid")
}

/// Calls `/slow` on a connection that was used before.
async fn call_slowly_on_reused_connection(
    client: &JsonClient,
    address: SocketAddr,
) -> Result<HttpReply, CallError> {
    let quick = client.send(address, request(address, "/quick"), deadline());
    quick.await.expect("call is answered");
    client
        .send(address, request(address, "/slow"), deadline())
        .await
}

/// Guards against connections that are all dropped, and calls that are given up, since their answers queue on a link behind a long
/// response that keeps arriving, also one to another client of the same server.
#[tokio::test]
async fn call_waits_while_a_long_response_from_the_same_address_arrives() {
    let address = start_server().await;
    let client = JsonClient::with_reuse(ConnectionReuse::Limited(REUSE_LIMIT));
    let other = JsonClient::beside(&client);
    let long = tokio::spawn(async move {
        let req = request(address, "/long");
        other.send_for_long_response(address, req, deadline()).await
    });
    let slow = call_slowly_on_reused_connection(&client, address).await;
    assert!(slow.is_ok(), "{slow:?}");
    let long = long.await.expect("task ends");
    assert_eq!(long.expect("response arrives").body.len(), LONG_BODY_BYTES);
}

/// Guards against a call that waits until its deadline on a connection that is dead.
#[tokio::test]
async fn call_on_a_reused_connection_is_given_up_while_nothing_arrives() {
    let address = start_server().await;
    let client = JsonClient::with_reuse(ConnectionReuse::Limited(REUSE_LIMIT));
    let slow = call_slowly_on_reused_connection(&client, address).await;
    assert_eq!(slow, Err(CallError::NoResponse(address)));
}
