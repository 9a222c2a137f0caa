//! Responses that take longer than a connection may be idle.

use bytes::Bytes;
use http_body::{Body, Frame};
use hyper::{Request, Response, body::Incoming};
use lycheeyard_clients::{ClientLimits, HttpHandler, HttpServer};
use std::{
    convert::Infallible,
    future::{Future, pending},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, Sleep, sleep},
};

const IDLE_TIMEOUT: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(600);

/// A body of two parts with a pause before each.
struct SlowBody {
    pause: Pin<Box<Sleep>>,
    parts: u32,
}

impl Body for SlowBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.parts == 0 {
            return Poll::Ready(None);
        }
        ready!(self.pause.as_mut().poll(cx));
        self.parts -= 1;
        self.pause.as_mut().reset(Instant::now() + PAUSE);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"part")))))
    }
}

#[derive(Clone)]
struct SlowHandler;

impl HttpHandler for SlowHandler {
    type Body = SlowBody;

    async fn handle(&self, _: Request<Incoming>) -> Response<SlowBody> {
        let pause = Box::pin(sleep(PAUSE));
        Response::new(SlowBody { pause, parts: 2 })
    }

    fn client_limits(&self) -> ClientLimits {
        ClientLimits {
            idle_timeout: IDLE_TIMEOUT,
            ..ClientLimits::default()
        }
    }
}

// Guards against a response that is cut, since the limit for idle connections passes while its next part is awaited.
#[tokio::test]
async fn response_with_pauses_arrives_as_a_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("listener has an address");
    let server = HttpServer::new(SlowHandler);
    tokio::spawn(async move { server.accept_until(&listener, pending()).await });
    let stream = TcpStream::connect(address).await;
    let mut stream = stream.expect("server accepts");
    let req = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(req).await.expect("connection is open");
    let mut response = String::new();
    // The connection is closed once it has been idle.
    let read = stream.read_to_string(&mut response).await;
    read.expect("connection is closed in order");
    assert_eq!(response.matches("part").count(), 2, "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}
