//! Callers that send invalid headers, oversized requests or incomplete bodies.
//!
//! Guards against such requests being run, and against stalled senders that exhaust the memory for bodies.

use super::call::{EVENT_TIMEOUT, PATH, send, start};
use crate::support::address;
use lycheeyard_protocol::{Outcome, ProblemKind};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

#[rstest]
#[case::unknown_control(&[("lycheeyard-organisation", "org-a"), ("lycheeyard-priority", "1")], ProblemKind::BadRequest)]
#[case::repeated_control(&[("lycheeyard-organisation", "org-a"), ("lycheeyard-organisation", "org-b")], ProblemKind::BadRequest)]
#[case::no_organisation(&[("x", "y")], ProblemKind::BadRequest)]
#[case::unknown_organisation(&[("lycheeyard-organisation", "org-z")], ProblemKind::NotFound)]
#[case::no_key(&[("lycheeyard-organisation", "org-a"), ("lycheeyard-idempotent", "false")], ProblemKind::BadRequest)]
#[case::bad_deadline(&[("lycheeyard-organisation", "org-a"), ("lycheeyard-deadline-ms", "-1")], ProblemKind::BadRequest)]
#[tokio::test(flavor = "multi_thread")]
async fn rejects_invalid_control_headers(
    #[case] headers: &[(&str, &str)],
    #[case] kind: ProblemKind,
) {
    let fleet = start(1).await;
    let answer = send(address(&fleet, "dc1-e1"), headers, "x").await;
    let answer = answer.expect("entry instance answers");
    assert_eq!(answer.outcome, Some(Outcome::NotRun));
    assert_eq!(answer.problem().title, kind);
    assert_eq!(answer.status.as_u16(), kind.status());
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_oversized_requests() {
    let fleet = start(1).await;
    let address = address(&fleet, "dc1-e1");
    let long = "a".repeat(20 * 1024);
    let headers = [("lycheeyard-organisation", "org-a"), ("x-long", &long)];
    let answer = send(address, &headers, "x")
        .await
        .expect("entry instance answers");
    assert_eq!(answer.problem().title, ProblemKind::TooLarge);
    let body = vec![b'x'; 1024 * 1024 + 1];
    let headers = [("lycheeyard-organisation", "org-a")];
    let mut stream = TcpStream::connect(address)
        .await
        .expect("entry process accepts connections");
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: e\r\n{}: {}\r\ncontent-length: {}\r\n\r\n",
        headers[0].0,
        headers[0].1,
        body.len()
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("connection is writable");
    let mut reply = vec![0; 4096];
    let read = timeout(EVENT_TIMEOUT, stream.read(&mut reply)).await;
    let read = read
        .expect("answer arrives in time")
        .expect("connection is readable");
    let reply = String::from_utf8_lossy(&reply[..read]);
    assert!(reply.starts_with("HTTP/1.1 413"), "{reply}");
    assert!(reply.contains("application/problem+json"), "{reply}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_senders_are_rejected_and_block_no_other_caller() {
    let fleet = start(1).await;
    let address = address(&fleet, "dc1-e1");
    let sent = vec![b'x'; 900_000];
    let mut stalled = Vec::new();
    for _ in 0..60 {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("entry process accepts connections");
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nhost: e\r\nlycheeyard-organisation: org-a\r\n\
             lycheeyard-deadline-ms: 1500\r\ncontent-length: 1000000\r\n\r\n"
        );
        stream
            .write_all(head.as_bytes())
            .await
            .expect("connection is writable");
        // The write may fail, since the server closes the connection after it has rejected a body.
        let _ = stream.write_all(&sent).await;
        stalled.push(stream);
    }
    let headers = [("lycheeyard-organisation", "org-a")];
    let answer = send(address, &headers, "")
        .await
        .expect("entry instance answers");
    assert_eq!(answer.outcome, Some(Outcome::Done), "{:?}", answer.body);
    let mut overloaded = 0;
    for mut stream in stalled {
        let mut reply = vec![0; 4096];
        let read = timeout(EVENT_TIMEOUT, stream.read(&mut reply)).await;
        let read = read
            .expect("answer arrives in time")
            .expect("connection is readable");
        let reply = String::from_utf8_lossy(&reply[..read]).into_owned();
        let is_rejection = reply.contains("application/problem+json") && reply.contains("not-run");
        assert!(is_rejection, "{reply}");
        overloaded += u32::from(reply.starts_with("HTTP/1.1 503"));
    }
    assert!(overloaded > 0, "the memory for bodies is not bounded");
    let answer = send(address, &headers, "after")
        .await
        .expect("entry instance answers");
    assert_eq!(answer.body, "after");
}
