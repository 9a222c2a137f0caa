use crate::{connection::Connection, slots::SlotPermit};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};
use thiserror::Error;
use tokio::time::Sleep;

/// Why a streamed answer ends early; the caller's connection is then closed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The upstream broke off.
    #[error("the upstream broke off within its answer")]
    BrokenOff,
    /// The deadline passed.
    #[error("the deadline passed within the answer")]
    DeadlinePassed,
}

/// The rest of a long answer, with the connection and the slot that it occupies.
#[derive(Debug)]
pub struct StreamBody {
    held: Option<Bytes>,
    rest: Incoming,
    deadline: Pin<Box<Sleep>>,
    _connection: Connection,
    _permit: Option<SlotPermit>,
}

impl StreamBody {
    /// Passes on what was read and then the rest.
    pub(crate) fn new(
        held: Bytes,
        rest: Incoming,
        deadline: Pin<Box<Sleep>>,
        connection: Connection,
        permit: Option<SlotPermit>,
    ) -> Self {
        Self {
            held: Some(held),
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
        if let Some(held) = self.held.take().filter(|held| !held.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        if let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) {
            let frame = frame.map(|frame| frame.map_err(|_| StreamError::BrokenOff));
            return Poll::Ready(frame);
        }
        ready!(self.deadline.as_mut().poll(cx));
        Poll::Ready(Some(Err(StreamError::DeadlinePassed)))
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        let held = self.held.as_ref().map_or(0, Bytes::len);
        let held = u64::try_from(held).unwrap_or(u64::MAX);
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(exact) => SizeHint::with_exact(exact + held),
            None => SizeHint::new(),
        }
    }
}
