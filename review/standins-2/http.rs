//! HTTP/1.1 over TCP: a server with one thread a connection, and a client with one connection a call.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

const POLL_INTERVAL: Duration = Duration::from_millis(2);

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// What a server does with a connection after a request.
pub enum Reply {
    Answer(u16, String),
    /// Closes the connection without an answer.
    Close,
}

pub trait Service: Send + Sync + 'static {
    fn answer(&self, req: &Request, connection: &TcpStream) -> Reply;

    /// Whether a new connection is taken; otherwise it is closed.
    fn accepts(&self) -> bool {
        true
    }
}

/// Serves requests at a free port of a loopback address. While the service takes no connections the port has no listener, and all
/// connections are closed.
pub fn serve<S: Service>(ip: &str, service: Arc<S>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || accept(listener, address, &service));
    Ok(address)
}

fn accept<S: Service>(mut listener: TcpListener, address: SocketAddr, service: &Arc<S>) {
    let mut open: Vec<TcpStream> = Vec::new();
    loop {
        let _ = listener.set_nonblocking(true);
        while service.accepts() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            open.extend(stream.try_clone());
            let service = Arc::clone(service);
            thread::spawn(move || serve_connection(stream, &*service));
        }
        drop(listener);
        for stream in open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        listener = loop {
            thread::sleep(POLL_INTERVAL);
            if let (true, Ok(listener)) = (service.accepts(), TcpListener::bind(address)) {
                break listener;
            }
        };
    }
}

fn serve_connection<S: Service>(mut stream: TcpStream, service: &S) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Some(req) = read_request(&mut stream, &mut buf) {
        let Reply::Answer(status, body) = service.answer(&req, &stream) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} .\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads until `buf` has a whole head; returns its length.
fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<usize> {
    loop {
        let end = buf.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            return Some(end);
        }
        read_more(stream, buf)?;
    }
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16 * 1024];
    let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
    buf.extend(&part[..count]);
    Some(())
}

fn read_headers(head: &str) -> BTreeMap<String, String> {
    let lines = head.lines().skip(1);
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let end = read_head(stream, buf)?;
    let head = String::from_utf8(buf[..end].to_vec()).ok()?;
    let headers = read_headers(&head);
    let length = headers.get("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    while buf.len() < end + 4 + length {
        read_more(stream, buf)?;
    }
    let body = buf[end + 4..end + 4 + length].to_vec();
    buf.drain(..end + 4 + length);
    let mut words = head.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect(),
        headers,
        body,
    })
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after.get(..2).filter(|_| *first == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a call and returns the status and the body; `None` without a whole answer within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all((head + "\r\n" + body).as_bytes()).ok()?;
    let mut buf = Vec::new();
    let end = read_head(&mut stream, &mut buf)?;
    let head = String::from_utf8(buf[..end].to_vec()).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = read_headers(&head);
    let length: usize = length.get("content-length")?.parse().ok()?;
    while buf.len() < end + 4 + length {
        read_more(&mut stream, &mut buf)?;
    }
    Some((status, buf[end + 4..end + 4 + length].to_vec()))
}
