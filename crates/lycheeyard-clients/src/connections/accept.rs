use super::{ClientLimits, Connections, ListenerLimits, WatchedStream, guard::serve_guarded};
use std::{future::Future, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tracing::warn;

/// The delay before `accept` is retried after a failure, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Connections {
    /// Accepts connections until `end` completes, and serves each in a task of its own. Connections that are open then are served further.
    pub async fn accept_until<S>(
        &self,
        listener: &TcpListener,
        limits: ListenerLimits,
        end: impl Future<Output = ()>,
        client_limits: impl Fn() -> ClientLimits,
        serve: impl Fn(WatchedStream) -> S,
    ) where
        S: Future<Output = ()> + Send + 'static,
    {
        let accepting = async {
            let mut is_failing = false;
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        is_failing = false;
                        self.start(stream, limits, client_limits(), &serve);
                        self.wait_for_room(limits).await;
                    }
                    Err(err) => {
                        if !is_failing {
                            warn!(%err, "connections: none can be accepted; trying again");
                        }
                        is_failing = true;
                        self.free_descriptor();
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        };
        tokio::select! {
            () = end => {}
            () = accepting => {}
        }
    }

    fn start<S>(
        &self,
        stream: TcpStream,
        limits: ListenerLimits,
        client_limits: ClientLimits,
        serve: impl Fn(WatchedStream) -> S,
    ) where
        S: Future<Output = ()> + Send + 'static,
    {
        // Without TCP_NODELAY responses may be late, which is no reason to drop the connection.
        let _ = stream.set_nodelay(true);
        let connection = self.add(limits.kind, client_limits);
        let stream = WatchedStream::new(stream, connection.clone());
        tokio::spawn(serve_guarded(connection, serve(stream)));
    }
}
