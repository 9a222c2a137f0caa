use crate::{connection::Connection, slots::SlotPermit};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};
use thiserror::Error;
use tokio::time::Sleep;

/// The reason why a streamed answer ends early; the caller's connection is then closed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The upstream closed the connection before the end of its answer.
    #[error("the upstream closed the connection before the end of its answer")]
    ConnectionLost,
    /// The deadline passed before the end of the answer.
    #[error("the deadline passed before the end of the answer")]
    DeadlinePassed,
}

/// The remaining body of a long answer, with the connection and the slot that it occupies.
#[derive(Debug)]
pub struct StreamBody {
    buffered: Option<Bytes>,
    rest: Incoming,
    deadline: Pin<Box<Sleep>>,
    _connection: Connection,
    _permit: Option<SlotPermit>,
}

impl StreamBody {
    /// Creates a body that yields the buffered bytes and then the rest.
    pub(crate) fn new(
        buffered: Bytes,
        rest: Incoming,
        deadline: Pin<Box<Sleep>>,
        connection: Connection,
        permit: Option<SlotPermit>,
    ) -> Self {
        Self {
            buffered: Some(buffered),
            rest,
            deadline,
            _connection: connection,
            _permit: permit,
        }
    }

    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        if let Some(buffered) = self.buffered.take().filter(|buffered| !buffered.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) {
            let frame = frame.map(|frame| frame.map_err(|_| StreamError::ConnectionLost));
            return Poll::Ready(frame);
        }
        ready!(self.deadline.as_mut().poll(cx));
        Poll::Ready(Some(Err(StreamError::DeadlinePassed)))
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, Bytes::len);
        let buffered = u64::try_from(buffered).unwrap_or(u64::MAX);
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(exact) => SizeHint::with_exact(exact + buffered),
            None => SizeHint::new(),
        }
    }
}
