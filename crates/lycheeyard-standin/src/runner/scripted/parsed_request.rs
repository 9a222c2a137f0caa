const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request that was read completely.
pub(super) struct ParsedRequest {
    pub body: String,
    pub id: Option<String>,
}

impl ParsedRequest {
    /// Returns the first request in the buffer and its length, once all of it has arrived.
    pub fn parse(buf: &[u8]) -> Option<(Self, usize)> {
        let head_end = buf.windows(HEAD_END.len()).position(|at| at == HEAD_END)?;
        let head = String::from_utf8_lossy(&buf[..head_end]).to_lowercase();
        let header = |name: &str| {
            let mut lines = head.lines();
            lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
        };
        let length: usize = header("content-length:").map_or(0, |text| text.parse().unwrap_or(0));
        let start = head_end + HEAD_END.len();
        let body = buf.get(start..start + length)?;
        let req = Self {
            body: String::from_utf8_lossy(body).into_owned(),
            id: header("lycheeyard-try-id:"),
        };
        Some((req, start + length))
    }
}
