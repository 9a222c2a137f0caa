use super::Connection;
use std::{
    io::{IoSlice, Result},
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The stream of an accepted connection, which records when bytes come and go.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    connection: Connection,
}

impl WatchedStream {
    pub(super) fn new(stream: TcpStream, connection: Connection) -> Self {
        Self { stream, connection }
    }

    /// The connection of this stream.
    #[must_use]
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Waits until the first byte of a request has arrived. Returns false if the client has closed the connection.
    ///
    /// # Errors
    /// Fails when the connection is broken.
    pub async fn wait_for_request(&self) -> Result<bool> {
        let has_begun = self.stream.peek(&mut [0]).await? > 0;
        if has_begun {
            self.connection.record_read();
        }
        Ok(has_begun)
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > filled_before {
            self.connection.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.connection.record_write_result(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.connection.record_write_result(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
