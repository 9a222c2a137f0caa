use super::{dispatch::dispatch, reply::Reply};
use crate::node::Shared;
use hyper::{Request, body::Incoming};
use lycheeyard_clients::{ClientLimits, Connections, HttpHandler, HttpServer, ListenerKind};
use lycheeyard_routing::AnswerBody;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tracing::info;

/// Passes the calls of callers and operators to the dispatcher.
#[derive(Clone)]
struct ApiHandler {
    shared: Shared,
}

impl HttpHandler for ApiHandler {
    type Body = AnswerBody;

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        dispatch(req, &self.shared).await
    }

    fn client_limits(&self) -> ClientLimits {
        self.shared.settings.client_limits
    }
}

/// Serves callers and operators until `stop` is cancelled, then drains.
///
/// While it drains, the instance is not ready but still accepts connections for the configured period. It then
/// closes the listener and completes the requests in flight.
pub(crate) async fn serve_api(
    listener: TcpListener,
    shared: Shared,
    accepted: Connections,
    stop: CancellationToken,
) {
    let handler = ApiHandler {
        shared: shared.clone(),
    };
    let limits = shared.settings.connections.listener(ListenerKind::Clients);
    let server = HttpServer::with_limits(handler, accepted, limits);
    server.accept_until(&listener, stop.cancelled()).await;
    shared.stopping.cancel();
    info!("entry: draining");
    let drain_period = tokio::time::sleep(shared.settings.drain);
    server.accept_until(&listener, drain_period).await;
    drop(listener);
    server.shut_down().await;
}
