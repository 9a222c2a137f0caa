use super::{dispatch::dispatch, reply::Reply};
use crate::node::Shared;
use hyper::{Request, body::Incoming};
use lycheeyard_clients::{HttpHandler, HttpServer};
use lycheeyard_routing::AnswerBody;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tracing::info;

/// Answers the calls of callers and operators.
#[derive(Clone)]
struct ApiHandler {
    shared: Shared,
}

impl HttpHandler for ApiHandler {
    type Body = AnswerBody;

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        dispatch(req, &self.shared).await
    }
}

/// Serves callers and operators until `stop` is cancelled, then finishes what is in flight.
pub(crate) async fn serve_api(listener: TcpListener, shared: Shared, stop: CancellationToken) {
    let server = HttpServer::new(ApiHandler {
        shared: shared.clone(),
    });
    server.accept_until(&listener, stop.cancelled()).await;
    shared.stopping.cancel();
    info!("entry: draining");
    let drained = tokio::time::sleep(shared.settings.drain);
    server.accept_until(&listener, drained).await;
    drop(listener);
    server.shut_down().await;
}
