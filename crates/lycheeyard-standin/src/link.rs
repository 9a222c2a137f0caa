use crate::StandinError;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};
use tokio_util::sync::CancellationToken;

const BUFFER_BYTES: usize = 16 * 1024;

/// A network path to a server that can be cut and healed; it ends when it is dropped.
///
/// While it is cut, connections stay open and carry nothing; what was sent arrives after it is healed, as
/// with a network that loses packets and senders that repeat them.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    cut: watch::Sender<bool>,
    stop: CancellationToken,
}

impl Link {
    /// Opens a path to `target` on a free loopback port.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub async fn start(target: SocketAddr) -> Result<Self, StandinError> {
        let wanted = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listen_error = |source| StandinError::Listen {
            address: wanted,
            source,
        };
        let listener = TcpListener::bind(wanted).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let link = Self {
            address,
            cut: watch::Sender::new(false),
            stop: CancellationToken::new(),
        };
        let accept = accept(listener, target, link.cut.subscribe(), link.stop.clone());
        tokio::spawn(link.stop.clone().run_until_cancelled_owned(accept));
        Ok(link)
    }

    /// The address of the near end.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the path, or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    cut: watch::Receiver<bool>,
    stop: CancellationToken,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let forward = forward(near, target, cut.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(forward));
    }
}

async fn forward(near: TcpStream, target: SocketAddr, cut: watch::Receiver<bool>) {
    let mut gate = cut.clone();
    if gate.wait_for(|cut| !cut).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = copy(near_read, far_write, cut.clone()) => {}
        () = copy(far_read, near_write, cut) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buf).await else {
            return;
        };
        if cut.wait_for(|cut| !cut).await.is_err() {
            return;
        }
        if count == 0 || to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
