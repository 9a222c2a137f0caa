use super::{audit, body::read_body, jobs, reply, reply::Reply, services, tickets};
use crate::{
    access::{RequiredAccess, authorise},
    metrics::{RequestMetrics, scrape},
    node::Shared,
};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode, body::Incoming};
use lycheeyard_protocol::{Nonce, Problem, ProblemKind};
use std::time::Duration;
use tokio::time::Instant;
use tracing::{Instrument, debug, info_span};

const REQUEST_ID_HEADER: &str = "lycheeyard-request-id";
/// The deadline for the body of a call other than a service request. The limit for bodies usually applies first.
const API_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles one call and records its metrics.
pub(super) async fn dispatch(req: Request<Incoming>, shared: &Shared) -> Reply {
    let started = Instant::now();
    let path = req.uri().path().to_owned();
    let segments = path_segments(&path);
    let interface = RequestMetrics::interface(&segments);
    let id = request_id(&req);
    let span = info_span!("call", id = %id, interface, path = %path);
    let result = route_by_path(req, shared).instrument(span).await;
    RequestMetrics::record(interface, result.as_ref().err(), started.elapsed());
    let mut reply = result.unwrap_or_else(|problem| reply::problem(&problem));
    reply::set_header(&mut reply, REQUEST_ID_HEADER, &id);
    reply
}

async fn route_by_path(req: Request<Incoming>, shared: &Shared) -> Result<Reply, Problem> {
    let path = req.uri().path().to_owned();
    let result = match path_segments(&path).as_slice() {
        ["v1", "services", service, rest @ ..] => {
            services::route(req, service, &rest.join("/"), shared).await
        }
        _ => handle_api_call(req, shared).await,
    };
    match &result {
        Ok(reply) => debug!("entry: answered with status {}", reply.status()),
        Err(problem) => debug!("entry: refused, {}: {}", problem.title, problem.detail),
    }
    result
}

/// The request id that the caller sent, or a random one if it sent none or an invalid one.
fn request_id(req: &Request<Incoming>) -> String {
    let given = req.headers().get(REQUEST_ID_HEADER);
    let given = given.and_then(|value| value.to_str().ok()?.parse::<Nonce>().ok());
    given.map_or_else(
        || format!("{:032x}", rand::random::<u128>()),
        |nonce| nonce.to_string(),
    )
}

fn path_segments(path: &str) -> Vec<&str> {
    path.split('/').skip(1).collect()
}

async fn handle_api_call(req: Request<Incoming>, shared: &Shared) -> Result<Reply, Problem> {
    let deadline = Instant::now() + API_BODY_TIMEOUT;
    let (parts, body) = read_body(req, deadline).await?;
    handle_buffered(Request::from_parts(parts, body), shared).await
}

async fn handle_buffered(mut req: Request<Bytes>, shared: &Shared) -> Result<Reply, Problem> {
    let path = req.uri().path().to_owned();
    let segments = path_segments(&path);
    let query = req.uri().query().unwrap_or_default().to_owned();
    let required = RequiredAccess::of_call(req.method(), &segments, &query, req.headers());
    let config = shared.configuration();
    let caller = authorise(required, req.headers_mut(), &shared.settings, &config)?;
    match (req.method(), segments.as_slice()) {
        (&Method::GET, ["livez"]) => Ok(reply::text(StatusCode::OK, "live\n")),
        (&Method::GET, ["readyz"]) => Ok(readiness(shared)),
        (&Method::GET, ["metrics"]) => Ok(reply::text(StatusCode::OK, &scrape(shared))),
        (&Method::GET, ["v1", "status"]) => Ok(reply::json(StatusCode::OK, &shared.status().await)),
        (&Method::GET, ["v1", "audit"]) => audit::list(&query, shared).await,
        (&Method::PUT, ["v1", "tickets", number]) => tickets::put(&req, number, shared).await,
        (&Method::GET, ["v1", "tickets"]) => tickets::list(shared).await,
        (&Method::GET, ["v1", "tickets", number]) => tickets::get(number, shared).await,
        (&Method::GET, ["v1", "jobs"]) => jobs::list(&query, &caller, shared).await,
        (&Method::PUT, ["v1", "jobs", organisation, job]) => {
            jobs::put(&req, organisation, job, shared).await
        }
        (&Method::GET, ["v1", "jobs", organisation, job]) => {
            jobs::get(organisation, job, shared).await
        }
        (&Method::GET, ["v1", "jobs", organisation, job, "explain"]) => {
            jobs::explain(organisation, job, &caller, shared).await
        }
        (&Method::DELETE, ["v1", "jobs", organisation, job]) => {
            jobs::cancel(organisation, job, shared).await
        }
        _ => Err(Problem::not_run(
            ProblemKind::NotFound,
            format!("there is no {} {path}", req.method()),
        )),
    }
}

fn readiness(shared: &Shared) -> Reply {
    if shared.is_ready() {
        reply::text(StatusCode::OK, "ready\n")
    } else {
        reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
