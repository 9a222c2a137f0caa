use bytes::{Bytes, BytesMut};
use std::fmt::Write;

/// The head and the body of a POST request as it is sent, in parts that need not end where the request does.
#[derive(Clone, Debug)]
pub struct PostRequest {
    path: String,
    headers: String,
}

impl PostRequest {
    /// Creates a request to `path` of `host`.
    #[must_use]
    pub fn new(host: &str, path: &str) -> Self {
        Self {
            path: path.to_owned(),
            headers: format!("Host: {host}\r\nContent-Type: application/json\r\n"),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        // Writing to a `String` cannot fail.
        let _ = write!(self.headers, "{name}: {value}\r\n");
        self
    }

    /// The head, without its end, and padding that makes it `len` bytes long.
    #[must_use]
    pub fn unfinished_head(&self, len: usize) -> Vec<Bytes> {
        let head = format!("POST {} HTTP/1.1\r\n{}X-Padding: ", self.path, self.headers);
        let padding = "p".repeat(len.saturating_sub(head.len()));
        vec![Bytes::from(head + &padding)]
    }

    /// The request with all of `body` but its last `missing` bytes, in one part.
    #[must_use]
    pub fn with_body(&self, body: &Bytes, missing: usize) -> Vec<Bytes> {
        let sent = body.len().saturating_sub(missing);
        vec![self.head_for(body), body.slice(..sent)]
    }

    /// The request with all of `body` but its last `missing` bytes, in parts of `part_len` bytes.
    #[must_use]
    pub fn in_parts(&self, body: &Bytes, missing: usize, part_len: usize) -> Vec<Bytes> {
        let sent = body.slice(..body.len().saturating_sub(missing));
        let mut parts = vec![self.head_for(body)];
        parts.extend(sent.chunks(part_len).map(Bytes::copy_from_slice));
        parts
    }

    /// The request with a body in chunks of `chunk_len` bytes, `len` bytes of data in all, without the last chunk.
    #[must_use]
    pub fn in_chunks(&self, chunk_len: usize, len: usize) -> Vec<Bytes> {
        let chunk = format!("{chunk_len:x}\r\n{}\r\n", " ".repeat(chunk_len));
        let chunks = Bytes::from(chunk.repeat(len / chunk_len));
        vec![self.chunked_head(), chunks]
    }

    /// The whole request, with its body in chunks of `chunk_len` bytes.
    #[must_use]
    pub fn chunked(&self, body: &Bytes, chunk_len: usize) -> Vec<Bytes> {
        let mut sent = BytesMut::from(&self.chunked_head()[..]);
        for data in body.chunks(chunk_len) {
            sent.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            sent.extend_from_slice(data);
            sent.extend_from_slice(b"\r\n");
        }
        sent.extend_from_slice(b"0\r\n\r\n");
        vec![sent.freeze()]
    }

    fn chunked_head(&self) -> Bytes {
        let head = format!(
            "POST {} HTTP/1.1\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            self.path, self.headers
        );
        Bytes::from(head)
    }

    fn head_for(&self, body: &Bytes) -> Bytes {
        let head = format!(
            "POST {} HTTP/1.1\r\n{}Content-Length: {}\r\n\r\n",
            self.path,
            self.headers,
            body.len()
        );
        Bytes::from(head)
    }
}
