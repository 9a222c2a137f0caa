use bytes::Bytes;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, timeout_at},
};

/// How many clients connect at a time, so that no listener's backlog overflows.
const MAX_CONNECTING: usize = 64;
/// How long a client tries to send what it has to send.
const SENDING_TIME: Duration = Duration::from_secs(8);

/// Clients that have sent what they had to send, and stay connected until the value is dropped. They read no responses.
#[derive(Debug)]
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `count` connections. Each sends the parts that `parts` returns for its number, with one write a part, until
    /// the server closes the connection or takes nothing more for a few seconds.
    pub async fn open(
        address: SocketAddr,
        count: usize,
        parts: impl Fn(usize) -> Vec<Bytes>,
    ) -> Self {
        let mut clients = JoinSet::new();
        let deadline = Instant::now() + SENDING_TIME;
        let connecting = Arc::new(Semaphore::new(MAX_CONNECTING));
        for number in 0..count {
            clients.spawn(run_client(
                address,
                parts(number),
                deadline,
                connecting.clone(),
            ));
        }
        let streams = clients.join_all().await.into_iter().flatten().collect();
        Self { streams }
    }

    /// The number of clients that could connect.
    #[must_use]
    pub fn connected(&self) -> usize {
        self.streams.len()
    }
}

/// Returns the connection, if there is one. A server that closes it ends the sending, not the client.
async fn run_client(
    address: SocketAddr,
    parts: Vec<Bytes>,
    deadline: Instant,
    connecting: Arc<Semaphore>,
) -> Option<TcpStream> {
    let permit = connecting.acquire().await;
    let connected = timeout_at(deadline, TcpStream::connect(address)).await;
    drop(permit);
    let mut stream = connected.ok()?.ok()?;
    // Without TCP_NODELAY parts may arrive together, which changes little.
    let _ = stream.set_nodelay(true);
    for part in parts {
        let sent = timeout_at(deadline, stream.write_all(&part)).await;
        if !matches!(sent, Ok(Ok(()))) {
            break;
        }
    }
    Some(stream)
}
