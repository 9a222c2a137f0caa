use crate::connections::Connection;
use http_body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// The body of a response. Until it is dropped, which is when all of it has been passed on for writing, the connection counts as serving.
#[derive(Debug)]
pub struct ResponseBody<B> {
    body: Pin<Box<B>>,
    connection: Connection,
}

impl<B: Body> ResponseBody<B> {
    pub(super) fn new(body: B, connection: Connection) -> Self {
        Self {
            body: Box::pin(body),
            connection,
        }
    }
}

impl<B: Body> Body for ResponseBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for ResponseBody<B> {
    fn drop(&mut self) {
        self.connection.record_response();
    }
}
