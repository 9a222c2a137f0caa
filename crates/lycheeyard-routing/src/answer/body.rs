use super::{StreamBody, StreamError};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body in memory; `None` if it is empty or has been sent.
    Buffered(Option<Bytes>),
    /// A body too long to buffer, forwarded as it arrives.
    Stream(Box<StreamBody>),
}

impl AnswerBody {
    /// Creates a buffered body.
    #[must_use]
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns the complete body, or `None` if it is streamed.
    #[must_use]
    pub fn buffered(&self) -> Option<Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes.clone().unwrap_or_default()),
            Self::Stream(_) => None,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(len).unwrap_or(u64::MAX))
            }
            Self::Stream(stream) => stream.size_hint(),
        }
    }
}
