//! Log lines of the daemon: one JSON object per line, with the request id of the call.
//!
//! Guards against lines that cannot be matched to a call, and against forged lines and colour codes in them.

use serde_json::Value;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Child, Command, Stdio},
};

/// A daemon without a platform; the process is killed on drop.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_with_format(format: &str) -> (Daemon, impl Iterator<Item = String>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lycheeyard-entry"))
        .args(["--instance", "e1", "--data-centre", "dc1"])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .args(["--store", "127.0.0.1:1", "--instances", "127.0.0.1:1"])
        .args(["--access", "open", "--log-format", format])
        .args(["--log-filter", "debug"])
        .env_remove("NO_COLOR")
        .stderr(Stdio::piped())
        .spawn()
        .expect("daemon starts");
    let stderr = child.stderr.take().expect("stderr is piped");
    let lines = BufReader::new(stderr).lines();
    let lines = lines.map(|line| line.expect("line is valid UTF-8"));
    (Daemon(child), lines)
}

fn start_with_json() -> (Daemon, impl Iterator<Item = Value>) {
    let (daemon, lines) = start_with_format("json");
    let parse = |line: String| -> Value {
        serde_json::from_str(&line).unwrap_or_else(|err| panic!("{err}: {line}"))
    };
    (daemon, lines.map(parse))
}

fn find_address(lines: &mut impl Iterator<Item = Value>) -> String {
    let first = lines.find(|line| message(line).contains("listens on "));
    let first = first.expect("daemon logs its address");
    let rest = message(&first).split("listens on ").nth(1);
    let address = rest.and_then(|rest| rest.split(',').next());
    address.expect("line holds an address").to_owned()
}

fn message(line: &Value) -> &str {
    line["fields"]["message"].as_str().unwrap_or_default()
}

fn get(address: &str, path: &str, id: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("daemon accepts connections");
    let req = format!(
        "GET {path} HTTP/1.1\r\nhost: entry\r\nlycheeyard-request-id: {id}\r\nconnection: close\r\n\r\n"
    );
    stream
        .write_all(req.as_bytes())
        .expect("connection is writable");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("daemon answers");
    text
}

#[test]
fn log_lines_of_call_carry_request_id() {
    let (_daemon, mut lines) = start_with_json();
    let address = find_address(&mut lines);
    let answer = get(&address, "/v1/jobs/org-a/build", "call-17");
    assert!(
        answer.contains("lycheeyard-request-id: call-17"),
        "{answer}"
    );
    let line = lines.find(|line| message(line).starts_with("entry: refused"));
    let line = line.expect("call is logged");
    assert_eq!(line["span"]["id"], "call-17");
    assert_eq!(line["span"]["path"], "/v1/jobs/org-a/build");
    assert_eq!(line["span"]["interface"], "job");
}

#[test]
fn replaces_request_id_that_could_forge_log_line() {
    let (_daemon, mut lines) = start_with_json();
    let address = find_address(&mut lines);
    let answer = get(&address, "/livez", "a b");
    let id = answer
        .lines()
        .find_map(|line| line.strip_prefix("lycheeyard-request-id: "));
    let id = id.expect("answer has a request id");
    assert_eq!(id.len(), 32, "{id}");
}

#[test]
fn text_lines_have_no_colour_codes_without_terminal() {
    let (_daemon, mut lines) = start_with_format("text");
    let line = lines.find(|line| line.contains("listens on "));
    let line = line.expect("daemon logs its address");
    assert!(!line.contains('\u{1b}'), "{line:?}");
}
