use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);

/// The numbers of bytes that this process has sent to and received from peers, in this order.
#[must_use]
pub fn peer_traffic_bytes() -> (u64, u64) {
    let sent = SENT_BYTES.load(Ordering::Relaxed);
    (sent, RECEIVED_BYTES.load(Ordering::Relaxed))
}

/// A connection to a peer that counts the bytes in both directions.
#[derive(Debug)]
pub(crate) struct CountedStream<S>(pub S);

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.0).poll_read(cx, buf);
        let read = buf.filled().len() - filled_before;
        RECEIVED_BYTES.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            SENT_BYTES.fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
