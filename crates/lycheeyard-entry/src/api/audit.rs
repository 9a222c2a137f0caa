use super::{
    reply,
    reply::Reply,
    tickets::{bad_request, problem_from_state_error},
};
use crate::node::Shared;
use hyper::StatusCode;
use lycheeyard_protocol::{ParseError, Problem};
use lycheeyard_state::AuditFilter;
use std::{str::FromStr, time::Duration};
use tokio::time::Instant;
use tracing::debug;

const AUDIT_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Lists the audit entries that match a query, oldest first.
///
/// Writes this instance's buffered entries to the store first, so that the list includes them.
pub(super) async fn list(query: &str, shared: &Shared) -> Result<Reply, Problem> {
    let filter = parse_filter(query)?;
    let deadline = Instant::now() + AUDIT_CALL_TIMEOUT;
    if let Err(err) = shared.audit_log.flush(deadline).await {
        debug!("audit: could not flush the entries of this instance before listing: {err}");
    }
    let config = shared.configuration();
    let mut data_centres: Vec<_> = config.data_centres.keys().cloned().collect();
    if !data_centres.contains(&shared.settings.data_centre) {
        data_centres.push(shared.settings.data_centre.clone());
    }
    let read = shared.audit_log.read(&data_centres, &filter, deadline);
    let entries = read.await.map_err(|err| problem_from_state_error(&err))?;
    Ok(reply::json(StatusCode::OK, &entries))
}

fn parse_filter(query: &str) -> Result<AuditFilter, Problem> {
    let mut filter = AuditFilter::default();
    for part in query.split('&').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        match name {
            "object" => filter.object = Some(parse(&value.replace("%2F", "/"))?),
            "ticket" => filter.ticket = Some(parse(value)?),
            "after" => filter.after = Some(parse(value)?),
            "before" => filter.before = Some(parse(value)?),
            _ => {
                let text = format!("{name} is not one of object, ticket, after, before");
                return Err(bad_request(text));
            }
        }
    }
    Ok(filter)
}

fn parse<T: FromStr<Err = ParseError>>(value: &str) -> Result<T, Problem> {
    value
        .parse()
        .map_err(|err: ParseError| bad_request(err.to_string()))
}
