//! Log lines of the daemon: one JSON object a line, with the identifier of the call.

use serde_json::Value;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Child, Command, Stdio},
};

/// A daemon without a platform; it ends when it is dropped.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start() -> (Daemon, impl Iterator<Item = Value>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lycheeyard-entry"))
        .args(["--instance", "e1", "--data-centre", "dc1"])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .args(["--store", "127.0.0.1:1", "--instances", "127.0.0.1:1"])
        .args(["--access", "open", "--log-format", "json"])
        .args(["--log-filter", "debug"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let stderr = child.stderr.take().expect("piped");
    let lines = BufReader::new(stderr).lines();
    let objects = lines.map(|line| {
        let line = line.expect("a readable line");
        serde_json::from_str(&line).unwrap_or_else(|err| panic!("{err}: {line}"))
    });
    (Daemon(child), objects)
}

fn find_address(lines: &mut impl Iterator<Item = Value>) -> String {
    let first = lines.find(|line| message(line).contains("listens on "));
    let first = first.expect("the daemon logs its address");
    let rest = message(&first).split("listens on ").nth(1);
    let address = rest.and_then(|rest| rest.split(',').next());
    address.expect("an address").to_owned()
}

fn message(line: &Value) -> &str {
    line["fields"]["message"].as_str().unwrap_or_default()
}

fn get(address: &str, path: &str, id: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let req = format!(
        "GET {path} HTTP/1.1\r\nhost: entry\r\nlycheeyard-request-id: {id}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(req.as_bytes()).expect("a sent request");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    text
}

#[test]
fn lines_of_a_call_carry_its_identifier() {
    let (_daemon, mut lines) = start();
    let address = find_address(&mut lines);
    let answer = get(&address, "/v1/jobs/org-a/build", "call-17");
    assert!(
        answer.contains("lycheeyard-request-id: call-17"),
        "{answer}"
    );
    let line = lines.find(|line| message(line).starts_with("entry: refused"));
    let line = line.expect("the call is logged");
    assert_eq!(line["span"]["id"], "call-17");
    assert_eq!(line["span"]["path"], "/v1/jobs/org-a/build");
    assert_eq!(line["span"]["interface"], "job");
}

#[test]
fn an_identifier_that_could_forge_a_line_is_replaced() {
    let (_daemon, mut lines) = start();
    let address = find_address(&mut lines);
    let answer = get(&address, "/livez", "a b");
    let id = answer
        .lines()
        .find_map(|line| line.strip_prefix("lycheeyard-request-id: "));
    let id = id.expect("an identifier");
    assert_eq!(id.len(), 32, "{id}");
}
