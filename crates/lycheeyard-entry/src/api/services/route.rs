use super::{
    reply,
    reply::{OUTCOME_HEADER, Reply},
    tickets::bad_request,
};
use crate::node::Shared;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, header};
use lycheeyard_protocol::{OrganisationId, Outcome, ParseError, Problem, ProblemKind, ServiceId};
use lycheeyard_routing::{RouteAnswer, RouteRequest};
use std::{str::FromStr, time::Duration};
use tokio::time::Instant;

const ORGANISATION_HEADER: &str = "lycheeyard-organisation";
const DEADLINE_HEADER: &str = "lycheeyard-deadline-ms";
const IDEMPOTENT_HEADER: &str = "lycheeyard-idempotent";
const RUNNER_HEADER: &str = "lycheeyard-runner";
const DEFAULT_DEADLINE_MS: u64 = 10_000;
const MAX_DEADLINE_MS: u64 = 600_000;

/// Routes a caller's request to a runner.
pub(super) async fn route(
    req: &Request<Bytes>,
    service: &str,
    rest: &str,
    shared: &Shared,
) -> Result<Reply, Problem> {
    let req = read(req, service, rest)?;
    let config = shared.configuration();
    let Some(service) = config.services.get(&req.service) else {
        let text = format!("there is no service {}", req.service);
        return Err(Problem::not_run(ProblemKind::NotFound, text));
    };
    if !config.organisations.contains_key(&req.organisation) {
        let text = format!("there is no organisation {}", req.organisation);
        return Err(Problem::not_run(ProblemKind::NotFound, text));
    }
    if !service.organisations.is_empty() && !service.organisations.contains(&req.organisation) {
        let text = format!("{} may not call {}", req.organisation, req.service);
        return Err(Problem::not_run(ProblemKind::Forbidden, text));
    }
    let answer = shared.router.route(&req, service.runner_slots).await;
    answer.map(answer_reply).map_err(|err| err.problem())
}

fn read(req: &Request<Bytes>, service: &str, rest: &str) -> Result<RouteRequest, Problem> {
    let parts = req.headers();
    let service: ServiceId = service
        .parse()
        .map_err(|err: ParseError| bad_request(err.to_string()))?;
    let organisation: Option<OrganisationId> = control(parts, ORGANISATION_HEADER)?;
    let organisation = organisation
        .ok_or_else(|| bad_request(format!("the header {ORGANISATION_HEADER} is required")))?;
    let deadline_ms = control(parts, DEADLINE_HEADER)?.unwrap_or(DEFAULT_DEADLINE_MS);
    if deadline_ms == 0 || deadline_ms > MAX_DEADLINE_MS {
        let text = format!("{DEADLINE_HEADER} must be from 1 to {MAX_DEADLINE_MS}");
        return Err(bad_request(text));
    }
    let query = req.uri().query().map(|query| format!("?{query}"));
    Ok(RouteRequest {
        organisation,
        service,
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        idempotent: control(parts, IDEMPOTENT_HEADER)?.unwrap_or(true),
        method: req.method().clone(),
        path: format!("/{rest}{}", query.unwrap_or_default()),
        headers: end_to_end(parts),
        body: req.body().clone(),
    })
}

/// Reads a control header that may stand once.
fn control<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(format!(
            "the header {name} stands more than once"
        )));
    }
    let text = value.to_str().unwrap_or_default();
    let parsed = text.parse();
    parsed
        .map(Some)
        .map_err(|_| bad_request(format!("the header {name} cannot be `{text}`")))
}

/// The headers without those that belong to one connection.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::UPGRADE,
        header::TE,
        header::TRAILER,
        header::HOST,
        header::PROXY_AUTHORIZATION,
    ] {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept
}

fn answer_reply(answer: RouteAnswer) -> Reply {
    let mut reply = Response::new(Full::new(answer.body));
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = end_to_end(&answer.headers);
    reply::set(&mut reply, OUTCOME_HEADER, &Outcome::Done.to_string());
    reply::set(&mut reply, RUNNER_HEADER, answer.runner.as_str());
    reply
}
