use super::{reply, reply::Reply};
use crate::node::{Shared, pull_from_store};
use bytes::Bytes;
use hyper::{Request, StatusCode};
use lycheeyard_policy::check_guarantees;
use lycheeyard_protocol::{
    AuditEvent, Outcome, Problem, ProblemKind, Revision, Ticket, TicketError, TicketNumber,
};
use lycheeyard_state::{Configuration, StateError};
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

const TICKET_CALL_TIMEOUT: Duration = Duration::from_secs(5);
const COMPACTION_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of revisions between two attempts to compact the configuration head.
const COMPACTION_INTERVAL_REVISIONS: u64 = 16;

/// Submits a ticket, then pulls the new configuration from the store.
///
/// Records in the audit trail that the ticket was accepted or rejected. A store failure and the repetition of an
/// accepted ticket are not recorded.
pub(super) async fn put(
    req: &Request<Bytes>,
    number: &str,
    shared: &Shared,
) -> Result<Reply, Problem> {
    let number = parse_number(number)?;
    let ticket: Ticket = serde_json::from_slice(req.body())
        .map_err(|err| bad_request(format!("the ticket cannot be read: {err}")))?;
    if ticket.number != number {
        let text = format!(
            "the path says ticket {number} and the body ticket {}",
            ticket.number
        );
        return Err(bad_request(text));
    }
    let current = shared.configuration();
    let submitted = shared
        .tickets
        .submit(&ticket, &current, check_guarantees_fit, deadline());
    let outcome = submitted.await;
    let outcome = outcome.map_err(|err| {
        if let StateError::Ticket(reason) = &err {
            let reason = reason.to_string();
            let objects = ticket.objects();
            let event = AuditEvent::TicketRefused {
                number,
                objects,
                reason,
            };
            shared.audit.record(event);
        }
        problem_from_state_error(&err)
    })?;
    if !outcome.repeated {
        let revision = outcome.revision;
        shared.audit.record(AuditEvent::TicketAccepted {
            number,
            revision,
            objects: ticket.objects(),
        });
    }
    pull_from_store(shared).await;
    compact_if_due(shared, outcome.revision);
    Ok(reply::json(StatusCode::OK, &outcome))
}

/// Returns an accepted ticket.
pub(super) async fn get(number: &str, shared: &Shared) -> Result<Reply, Problem> {
    let number = parse_number(number)?;
    let found = shared.tickets.find(number, deadline()).await;
    let found = found.map_err(|err| problem_from_state_error(&err))?;
    let Some(found) = found else {
        let text = format!("ticket {number} was not accepted");
        return Err(Problem::not_run(ProblemKind::NotFound, text));
    };
    let body = shared.tickets.body(&found, deadline()).await;
    let body = body.map_err(|err| problem_from_state_error(&err))?;
    Ok(reply::json(StatusCode::OK, &body))
}

/// Lists the most recently accepted tickets, oldest first.
pub(super) async fn list(shared: &Shared) -> Result<Reply, Problem> {
    let accepted = shared.tickets.recent(deadline()).await;
    let accepted = accepted.map_err(|err| problem_from_state_error(&err))?;
    Ok(reply::json(StatusCode::OK, &accepted))
}

/// Maps a failure to read or write durable state to a problem for the caller.
pub(super) fn problem_from_state_error(err: &StateError) -> Problem {
    const RETRY_AFTER_S: u32 = 2;
    let text = err.to_string();
    match err {
        StateError::Ticket(TicketError::NumberTaken { .. } | TicketError::Superseded { .. }) => {
            Problem::not_run(ProblemKind::Conflict, text)
        }
        StateError::Ticket(_) | StateError::Name(_) => bad_request(text),
        StateError::Unknown => Problem::new(ProblemKind::StoreUnavailable, Outcome::Unknown, text)
            .with_retry_after(RETRY_AFTER_S),
        StateError::Store(_)
        | StateError::NotWritten
        | StateError::Corrupt { .. }
        | StateError::Gap { .. }
        | StateError::Contended(_) => {
            Problem::not_run(ProblemKind::StoreUnavailable, text).with_retry_after(RETRY_AFTER_S)
        }
    }
}

/// The problem for a malformed call.
pub(super) fn bad_request(text: String) -> Problem {
    Problem::not_run(ProblemKind::BadRequest, text)
}

/// Starts a compaction of the configuration head if one is due.
///
/// The compaction runs in a separate task, so that it does not delay the response to the operator.
fn compact_if_due(shared: &Shared, revision: Revision) {
    if !revision.0.is_multiple_of(COMPACTION_INTERVAL_REVISIONS) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let current = shared.configuration();
        let deadline = Instant::now() + COMPACTION_TIMEOUT;
        if let Err(err) = shared.tickets.compact(&current, deadline).await {
            warn!("tickets: compaction of the configuration head failed: {err}");
        }
    });
}

fn check_guarantees_fit(config: &Configuration) -> Result<(), TicketError> {
    for data_centre in config.data_centres.values() {
        let mut shapes = Vec::new();
        for organisation in config.organisations.values() {
            for guarantee in &organisation.guarantees {
                if guarantee.data_centre == data_centre.id {
                    shapes.push((organisation.id.clone(), guarantee.shape));
                }
            }
        }
        check_guarantees(data_centre, &shapes)
            .map_err(|err| TicketError::GuaranteesDoNotFit(format!("{}: {err}", data_centre.id)))?;
    }
    Ok(())
}

fn parse_number(text: &str) -> Result<TicketNumber, Problem> {
    text.parse()
        .map_err(|err: lycheeyard_protocol::ParseError| bad_request(err.to_string()))
}

fn deadline() -> Instant {
    Instant::now() + TICKET_CALL_TIMEOUT
}
