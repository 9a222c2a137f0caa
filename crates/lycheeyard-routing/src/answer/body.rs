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
    /// The whole body; `None` if it is empty or has been sent.
    Whole(Option<Bytes>),
    /// A body too long to buffer, forwarded as it arrives.
    Stream(Box<StreamBody>),
}

impl AnswerBody {
    /// Creates a body from bytes that are all in memory.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns the whole body, or `None` if it is streamed.
    #[must_use]
    pub fn buffered(&self) -> Option<Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes.clone().unwrap_or_default()),
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(len).unwrap_or(u64::MAX))
            }
            Self::Stream(stream) => stream.size_hint(),
        }
    }
}
