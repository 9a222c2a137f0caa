use crate::StandinError;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
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

/// What a link does with traffic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// Forwards everything.
    #[default]
    Open,
    /// Closes open connections, and new ones as soon as they are accepted.
    Closed,
    /// Keeps connections open, accepts new ones and discards all bytes, as a network that loses every packet does.
    Silent,
    /// Forwards calls and discards the responses.
    DropsAnswers,
}

impl LinkState {
    /// Returns [`Self::Silent`] if `cut` is true, otherwise [`Self::Open`].
    #[must_use]
    pub fn silent_if(cut: bool) -> Self {
        if cut { Self::Silent } else { Self::Open }
    }
}

/// The bytes that a link has forwarded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkBytes {
    /// From the callers to the target.
    pub forward: u64,
    /// From the target to the callers.
    pub backward: u64,
}

/// A TCP relay in front of one address, which counts bytes and simulates network failures.
///
/// Dropping it stops the relay.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    shared: Shared,
    stop: CancellationToken,
}

#[derive(Clone, Debug)]
struct Shared {
    state: watch::Sender<LinkState>,
    forward: Arc<AtomicU64>,
    backward: Arc<AtomicU64>,
}

/// The direction in which one half of a connection carries bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Forward,
    Backward,
}

impl Link {
    /// Starts a link to `target` on a free loopback port.
    ///
    /// # Errors
    /// Fails when no socket can be opened.
    pub async fn start(target: SocketAddr) -> Result<Self, StandinError> {
        let requested = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listen_error = |source| StandinError::Listen {
            address: requested,
            source,
        };
        let listener = TcpListener::bind(requested).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let link = Self {
            address,
            shared: Shared {
                state: watch::Sender::default(),
                forward: Arc::default(),
                backward: Arc::default(),
            },
            stop: CancellationToken::new(),
        };
        let accept = accept(listener, target, link.shared.clone());
        let stop = link.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(accept).await });
        Ok(link)
    }

    /// The address that callers use in place of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the link does with traffic; this also affects open connections.
    pub fn set(&self, state: LinkState) {
        self.shared.state.send_replace(state);
    }

    /// The bytes forwarded so far.
    #[must_use]
    pub fn bytes(&self) -> LinkBytes {
        LinkBytes {
            forward: self.shared.forward.load(Ordering::Relaxed),
            backward: self.shared.backward.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Shared) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if *shared.state.borrow() == LinkState::Closed {
            continue;
        }
        tokio::spawn(relay(stream, target, shared.clone()));
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, shared: Shared) {
    let Ok(target) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    let mut state = shared.state.subscribe();
    tokio::select! {
        () = copy(caller_read, target_write, Direction::Forward, &shared) => {}
        () = copy(target_read, caller_write, Direction::Backward, &shared) => {}
        _ = state.wait_for(|state| *state == LinkState::Closed) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    shared: &Shared,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    // A connection that has lost bytes forwards nothing more, even when the link is open again: the rest of the stream
    // would arrive with a gap.
    let mut has_lost_bytes = false;
    loop {
        let Ok(count) = from.read(&mut buf).await else {
            return;
        };
        let state = *shared.state.borrow();
        if count == 0 {
            wait_while_silent(state, shared).await;
            return;
        }
        has_lost_bytes |= drops(state, direction);
        if has_lost_bytes {
            continue;
        }
        shared.count(direction, count);
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until the link is no longer silent, since a silent network does not deliver the end of a connection either.
async fn wait_while_silent(state: LinkState, shared: &Shared) {
    if state == LinkState::Silent {
        let mut changes = shared.state.subscribe();
        let _ = changes.wait_for(|state| *state != LinkState::Silent).await;
    }
}

fn drops(state: LinkState, direction: Direction) -> bool {
    match state {
        LinkState::Open => false,
        LinkState::Closed | LinkState::Silent => true,
        LinkState::DropsAnswers => direction == Direction::Backward,
    }
}

impl Shared {
    fn count(&self, direction: Direction, count: usize) {
        let counter = match direction {
            Direction::Forward => &self.forward,
            Direction::Backward => &self.backward,
        };
        counter.fetch_add(u64::try_from(count).unwrap_or(0), Ordering::Relaxed);
    }
}
