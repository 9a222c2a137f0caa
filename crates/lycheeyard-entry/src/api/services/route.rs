use super::headers;
use crate::{
    access::{RequiredAccess, authorise},
    api::{
        body::read_body,
        reply::{self, Reply},
        tickets::bad_request,
    },
    node::Shared,
};
use hyper::{Request, Response, body::Incoming, header::AUTHORIZATION};
use lycheeyard_protocol::{OrganisationId, Outcome, ParseError, Problem, ProblemKind, ServiceId};
use lycheeyard_routing::{
    AnswerSource, RouteAnswer, RouteRequest, end_to_end,
    header_name::{OUTCOME, RUNNER},
};

/// Routes a service request to a runner.
///
/// Checks access, headers and rate limits before it reads the body.
pub(in crate::api) async fn route(
    mut req: Request<Incoming>,
    service: &str,
    rest: &str,
    shared: &Shared,
) -> Result<Reply, Problem> {
    let authorization = req.headers().get(AUTHORIZATION).cloned();
    authorise_request(&mut req, shared)?;
    let control = headers::parse(req.headers())?;
    let service: ServiceId = service
        .parse()
        .map_err(|err: ParseError| bad_request(err.to_string()))?;
    check_service_access(&service, &control.organisation, shared)?;
    let router = &shared.router;
    router
        .accept(&service, &control.organisation)
        .map_err(|err| err.problem())?;
    let (parts, body) = read_body(req, control.deadline).await?;
    let query = parts.uri.query().map(|query| format!("?{query}"));
    let request = RouteRequest {
        organisation: control.organisation,
        service,
        deadline: control.deadline,
        key: control.key,
        is_forwarded: control.is_forwarded,
        method: parts.method,
        path: format!("/{rest}{}", query.unwrap_or_default()),
        headers: end_to_end(&parts.headers),
        authorization,
        body,
    };
    let answer = router.route(request).await;
    answer.map(reply_from_answer).map_err(|err| err.problem())
}

fn authorise_request(req: &mut Request<Incoming>, shared: &Shared) -> Result<(), Problem> {
    let path = req.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let query = req.uri().query().unwrap_or_default().to_owned();
    let required = RequiredAccess::of_call(req.method(), &segments, &query, req.headers());
    let config = shared.configuration();
    authorise(required, req.headers_mut(), &shared.settings, &config)?;
    Ok(())
}

fn check_service_access(
    service: &ServiceId,
    organisation: &OrganisationId,
    shared: &Shared,
) -> Result<(), Problem> {
    let config = shared.configuration();
    let Some(configured) = config.services.get(service) else {
        let text = format!("there is no service {service}");
        return Err(Problem::not_run(ProblemKind::NotFound, text));
    };
    if !config.organisations.contains_key(organisation) {
        let text = format!("there is no organisation {organisation}");
        return Err(Problem::not_run(ProblemKind::NotFound, text));
    }
    let allowed = &configured.organisations;
    if !allowed.is_empty() && !allowed.contains(organisation) {
        let text = format!("{organisation} may not call {service}");
        return Err(Problem::not_run(ProblemKind::Forbidden, text));
    }
    Ok(())
}

fn reply_from_answer(answer: RouteAnswer) -> Reply {
    let mut reply = Response::new(answer.body);
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = end_to_end(&answer.headers);
    match answer.source {
        AnswerSource::Runner(runner) | AnswerSource::Replayed(runner) => {
            reply::set_header(&mut reply, OUTCOME, &Outcome::Done.to_string());
            reply::set_header(&mut reply, RUNNER, runner.as_str());
        }
        AnswerSource::DataCentre(_, outcome) => {
            reply::set_header(&mut reply, OUTCOME, &outcome.to_string());
        }
    }
    reply
}
