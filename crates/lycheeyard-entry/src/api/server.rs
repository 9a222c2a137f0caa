use super::dispatch::dispatch;
use crate::node::Shared;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::{convert::Infallible, time::Duration};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tracing::info;

const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADERS: usize = 100;
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Serves callers and operators until `stop` is cancelled, then finishes what is in flight.
pub(crate) async fn serve_api(listener: TcpListener, shared: Shared, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    accept_until(&listener, &shared, &graceful, stop.cancelled()).await;
    shared.stopping.cancel();
    info!("entry: draining");
    let drained = tokio::time::sleep(shared.settings.drain);
    accept_until(&listener, &shared, &graceful, drained).await;
    drop(listener);
    graceful.shutdown().await;
}

async fn accept_until(
    listener: &TcpListener,
    shared: &Shared,
    graceful: &GracefulShutdown,
    end: impl Future<Output = ()>,
) {
    tokio::pin!(end);
    loop {
        let accepted = tokio::select! {
            () = &mut end => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            serve(stream, shared.clone(), graceful);
        }
    }
}

fn serve(stream: TcpStream, shared: Shared, graceful: &GracefulShutdown) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(dispatch(req, &shared).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        let _ = watched.await;
    });
}
