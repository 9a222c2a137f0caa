use super::{jobs, reply, reply::Reply, services, tickets};
use crate::node::Shared;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, StatusCode, body::Incoming};
use lycheeyard_protocol::{Problem, ProblemKind};

const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Carries one call out.
pub(super) async fn dispatch(req: Request<Incoming>, shared: &Shared) -> Reply {
    match read_whole(req).await {
        Ok(req) => handle(req, shared)
            .await
            .unwrap_or_else(|problem| reply::problem(&problem)),
        Err(problem) => reply::problem(&problem),
    }
}

async fn read_whole(req: Request<Incoming>) -> Result<Request<Bytes>, Problem> {
    let (parts, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|err| {
        Problem::not_run(
            ProblemKind::TooLarge,
            format!("the body cannot be taken: {err}"),
        )
    })?;
    Ok(Request::from_parts(parts, body.to_bytes()))
}

async fn handle(req: Request<Bytes>, shared: &Shared) -> Result<Reply, Problem> {
    let path = req.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (req.method(), segments.as_slice()) {
        (_, ["v1", "services", service, rest @ ..]) => {
            services::route(&req, service, &rest.join("/"), shared).await
        }
        (&Method::GET, ["livez"]) => Ok(reply::text(StatusCode::OK, "live\n")),
        (&Method::GET, ["readyz"]) => Ok(readiness(shared)),
        (&Method::GET, ["v1", "status"]) => Ok(reply::json(StatusCode::OK, &shared.status().await)),
        (&Method::PUT, ["v1", "tickets", number]) => tickets::put(&req, number, shared).await,
        (&Method::GET, ["v1", "tickets"]) => tickets::list(shared).await,
        (&Method::GET, ["v1", "tickets", number]) => tickets::get(number, shared).await,
        (&Method::GET, ["v1", "jobs"]) => {
            jobs::list(req.uri().query().unwrap_or_default(), shared).await
        }
        (&Method::PUT, ["v1", "jobs", organisation, job]) => {
            jobs::put(&req, organisation, job, shared).await
        }
        (&Method::GET, ["v1", "jobs", organisation, job]) => {
            jobs::get(organisation, job, shared).await
        }
        (&Method::GET, ["v1", "jobs", organisation, job, "explain"]) => {
            jobs::explain(organisation, job, shared).await
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
