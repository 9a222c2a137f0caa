use bytes::{Bytes, BytesMut};
use lycheeyard_clients::Connection;
use std::io::{Error, ErrorKind};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The largest frame that a called instance sends, in bytes: the answer with all configuration changes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The largest frame that a called instance takes, in bytes.
const MAX_CALL_BYTES: usize = 4 << 20;

/// The codec of an instance that calls.
pub(crate) fn caller_codec() -> LengthDelimitedCodec {
    codec(MAX_ANSWER_BYTES)
}

/// The codec of an instance that is called. A frame that arrives holds memory of the process's connections.
#[derive(Debug)]
pub(crate) struct CalleeCodec {
    calls: LengthDelimitedCodec,
    answers: LengthDelimitedCodec,
    connection: Connection,
}

impl CalleeCodec {
    pub fn new(connection: Connection) -> Self {
        Self {
            calls: codec(MAX_CALL_BYTES),
            answers: codec(MAX_ANSWER_BYTES),
            connection,
        }
    }
}

impl CalleeCodec {
    /// Holds memory for a buffer with a part of a frame. Each connection holds some already.
    fn hold(&self, buffer_bytes: usize) -> Result<(), Error> {
        self.connection.record_read();
        let held_already = self.connection.limits().max_head_bytes;
        if buffer_bytes <= held_already || self.connection.try_hold_frame(buffer_bytes) {
            return Ok(());
        }
        Err(Error::from(ErrorKind::OutOfMemory))
    }
}

impl Decoder for CalleeCodec {
    type Item = BytesMut;
    type Error = Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<BytesMut>, Error> {
        let frame = self.calls.decode(src)?;
        if frame.is_some() {
            self.connection.hold_response(0);
            self.connection.record_response();
        } else if !src.is_empty() {
            self.hold(src.capacity())?;
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for CalleeCodec {
    type Error = Error;

    fn encode(&mut self, frame: Bytes, dst: &mut BytesMut) -> Result<(), Error> {
        self.answers.encode(frame, dst)
    }
}

fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(max_frame_bytes)
        .new_codec()
}
