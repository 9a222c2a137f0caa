mod counts;
mod parsed_request;
mod response;

pub use counts::ScriptedCounts;

use super::RunnerFault;
use crate::StandinError;
use parsed_request::ParsedRequest;
use response::answer;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::{CancellationToken, DropGuard};

#[derive(Debug, Default)]
struct Script {
    fault: RunnerFault,
    work: Duration,
    extra_headers: String,
    padding: usize,
    echo_id: bool,
    counts: ScriptedCounts,
    /// Connections with this number or a lower one get no more responses.
    silenced_through: u32,
}

/// A runner that reads and writes HTTP on the raw socket, so that it can fail at any byte of a request or response.
///
/// The response body is `answer to ` followed by the request body.
#[derive(Debug)]
pub struct ScriptedRunner {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    _stop: DropGuard,
}

impl ScriptedRunner {
    /// Starts a runner on a free loopback port.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub async fn start() -> Result<Self, StandinError> {
        let requested = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let error = |source| StandinError::Listen {
            address: requested,
            source,
        };
        let listener = TcpListener::bind(requested).await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let stop = CancellationToken::new();
        let script = Arc::new(Mutex::new(Script::default()));
        tokio::spawn(accept(listener, script.clone(), stop.clone()));
        Ok(Self {
            address,
            script,
            _stop: stop.drop_guard(),
        })
    }

    /// The address of the runner.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the failure to inject into further requests.
    pub fn set_fault(&self, fault: RunnerFault) {
        lock(&self.script).fault = fault;
    }

    /// Sets the time that each request takes.
    pub fn set_work(&self, work: Duration) {
        lock(&self.script).work = work;
    }

    /// Sets additional header lines for each response; each line must end with `\r\n`.
    pub fn set_extra_headers(&self, lines: &str) {
        lines.clone_into(&mut lock(&self.script).extra_headers);
    }

    /// Appends this many bytes to the body of each response.
    pub fn set_padding(&self, bytes: usize) {
        lock(&self.script).padding = bytes;
    }

    /// Makes the runner copy the try id of each request into its response.
    pub fn echo_ids(&self) {
        lock(&self.script).echo_id = true;
    }

    /// Stops all responses on the connections opened so far; later connections work.
    pub fn silence_open_connections(&self) {
        let mut script = lock(&self.script);
        script.silenced_through = script.counts.connections;
    }

    /// The counters so far.
    #[must_use]
    pub fn counts(&self) -> ScriptedCounts {
        lock(&self.script).counts.clone()
    }
}

fn lock(script: &Mutex<Script>) -> MutexGuard<'_, Script> {
    script.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, script: Arc<Mutex<Script>>, stop: CancellationToken) {
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = stream else { continue };
        let number = count_connection(&script);
        let script = script.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                _ = serve(stream, &script, number) => {}
            }
            lock(&script).counts.open -= 1;
        });
    }
}

fn count_connection(script: &Mutex<Script>) -> u32 {
    let counts = &mut lock(script).counts;
    counts.connections += 1;
    counts.open += 1;
    counts.open_peak = counts.open_peak.max(counts.open);
    counts.connections
}

async fn serve(mut stream: TcpStream, script: &Mutex<Script>, number: u32) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = Vec::new();
    loop {
        let Some(req) = read_request(&mut stream, &mut buf, script).await? else {
            return Ok(());
        };
        let (fault, work) = begin(script, &req);
        let is_silenced = lock(script).silenced_through >= number;
        if fault == RunnerFault::Silent || is_silenced {
            lock(script).counts.running -= 1;
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(work).await;
        lock(script).counts.running -= 1;
        if !answer(&mut stream, script, &req, fault).await? {
            return Ok(());
        }
    }
}

fn begin(script: &Mutex<Script>, req: &ParsedRequest) -> (RunnerFault, Duration) {
    let mut script = lock(script);
    let counts = &mut script.counts;
    *counts.begun.entry(req.body.clone()).or_default() += 1;
    counts.running += 1;
    counts.running_peak = counts.running_peak.max(counts.running);
    (script.fault, script.work)
}

/// Reads one request; returns `None` when the connection is to be closed.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    script: &Mutex<Script>,
) -> std::io::Result<Option<ParsedRequest>> {
    loop {
        let close_at = match lock(script).fault {
            RunnerFault::CloseAfterReading(bytes) => Some(bytes),
            _ => None,
        };
        if close_at.is_some_and(|bytes| buf.len() >= bytes) {
            lock(script).counts.partial_reads += u32::from(!buf.is_empty());
            return Ok(None);
        }
        if close_at.is_none()
            && let Some((req, used)) = ParsedRequest::parse(buf)
        {
            buf.drain(..used);
            return Ok(Some(req));
        }
        let left = close_at.map_or(4096, |bytes| bytes - buf.len());
        let mut part = vec![0; left];
        let read = stream.read(&mut part).await?;
        if read == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&part[..read]);
    }
}
