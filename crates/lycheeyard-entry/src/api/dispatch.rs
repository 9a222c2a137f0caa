use super::{body::read_body, jobs, reply, reply::Reply, services, tickets};
use crate::node::Shared;
use bytes::Bytes;
use hyper::{Method, Request, StatusCode, body::Incoming};
use lycheeyard_protocol::{Problem, ProblemKind};
use std::time::Duration;
use tokio::time::Instant;

const OPERATOR_CALL: Duration = Duration::from_secs(30);

/// Carries one call out.
pub(super) async fn dispatch(req: Request<Incoming>, shared: &Shared) -> Reply {
    let path = req.uri().path().to_owned();
    let mut segments = path.split('/').skip(1);
    let start = [segments.next(), segments.next(), segments.next()];
    let done = if let [Some("v1"), Some("services"), Some(service)] = start {
        let rest: Vec<&str> = segments.collect();
        services::route(req, service, &rest.join("/"), shared).await
    } else {
        handle_whole(req, shared).await
    };
    done.unwrap_or_else(|problem| reply::problem(&problem))
}

async fn handle_whole(req: Request<Incoming>, shared: &Shared) -> Result<Reply, Problem> {
    let (parts, body) = req.into_parts();
    let deadline = Instant::now() + OPERATOR_CALL;
    let body = read_body(body, &parts.headers, deadline, shared).await?;
    let req = Request::from_parts(parts, Bytes::clone(&body));
    handle(req, shared).await
}

async fn handle(req: Request<Bytes>, shared: &Shared) -> Result<Reply, Problem> {
    let path = req.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (req.method(), segments.as_slice()) {
        (&Method::GET, ["livez"]) => Ok(reply::text(StatusCode::OK, "live\n")),
        (&Method::GET, ["readyz"]) => Ok(readiness(shared)),
        (&Method::GET, ["v1", "status"]) => Ok(reply::json(StatusCode::OK, &shared.status())),
        (&Method::PUT, ["v1", "tickets", number]) => tickets::put(&req, number, shared).await,
        (&Method::GET, ["v1", "tickets"]) => tickets::list(shared).await,
        (&Method::GET, ["v1", "tickets", number]) => tickets::get(number, shared).await,
        (&Method::GET, ["v1", "jobs"]) => jobs::list(shared).await,
        (&Method::PUT, ["v1", "jobs", organisation, job]) => {
            jobs::put(&req, organisation, job, shared).await
        }
        (&Method::GET, ["v1", "jobs", organisation, job]) => {
            jobs::get(organisation, job, shared).await
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
