use super::{Script, lock, parsed_request::ParsedRequest};
use crate::RunnerFault;
use std::{fmt::Write as _, sync::Mutex};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Sends the response; returns false when the connection is to be closed.
pub(super) async fn answer(
    stream: &mut TcpStream,
    script: &Mutex<Script>,
    req: &ParsedRequest,
    fault: RunnerFault,
) -> std::io::Result<bool> {
    let bytes = build_response(&lock(script), req, fault);
    match fault {
        RunnerFault::CutAnswerAfter(count) => {
            stream.write_all(&bytes[..count.min(bytes.len())]).await?;
            Ok(false)
        }
        RunnerFault::NoContentLength => {
            stream.write_all(&bytes).await?;
            Ok(false)
        }
        RunnerFault::AnswerTwice(delay) if delay.is_zero() => {
            stream.write_all(&[bytes.clone(), bytes].concat()).await?;
            Ok(true)
        }
        RunnerFault::AnswerTwice(delay) => {
            stream.write_all(&bytes).await?;
            tokio::time::sleep(delay).await;
            stream.write_all(&bytes).await?;
            Ok(true)
        }
        RunnerFault::Late(delay) => {
            tokio::time::sleep(delay).await;
            stream.write_all(&bytes).await?;
            Ok(true)
        }
        RunnerFault::None
        | RunnerFault::CloseAfterReading(_)
        | RunnerFault::WrongId
        | RunnerFault::Silent => {
            stream.write_all(&bytes).await?;
            Ok(true)
        }
    }
}

fn build_response(script: &Script, req: &ParsedRequest, fault: RunnerFault) -> Vec<u8> {
    let padding = "x".repeat(script.padding);
    let body = format!("answer to {}{padding}", req.body);
    let mut head = String::from("HTTP/1.1 200 OK\r\n");
    if fault != RunnerFault::NoContentLength {
        let _ = write!(head, "content-length: {}\r\n", body.len());
    }
    let id = match (fault, &req.id) {
        (RunnerFault::WrongId, _) => Some("another"),
        (_, Some(id)) if script.echo_id => Some(id.as_str()),
        _ => None,
    };
    if let Some(id) = id {
        let _ = write!(head, "lycheeyard-try-id: {id}\r\n");
    }
    head.push_str(&script.extra_headers);
    format!("{head}\r\n{body}").into_bytes()
}
