use bytes::Bytes;

/// A response that was read whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpReply {
    /// The HTTP status.
    pub status: u16,
    /// The undecoded body.
    pub body: Bytes,
}
