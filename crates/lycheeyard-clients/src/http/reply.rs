use bytes::Bytes;

/// The answer to a call, read whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpReply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}
