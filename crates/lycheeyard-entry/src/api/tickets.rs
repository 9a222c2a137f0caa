use super::{reply, reply::Reply};
use crate::node::Shared;
use bytes::Bytes;
use hyper::{Request, StatusCode};
use lycheeyard_policy::check_guarantees;
use lycheeyard_protocol::{
    AuditEvent, Outcome, Problem, ProblemKind, Ticket, TicketError, TicketNumber,
};
use lycheeyard_state::{Configuration, StateError};
use std::time::Duration;
use tokio::time::Instant;

const TICKET_CALL: Duration = Duration::from_secs(5);

/// Accepts a ticket.
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
    let known = shared.configuration();
    let submitted = shared
        .tickets
        .submit(&ticket, &known, check_fit, deadline());
    let outcome = submitted.await;
    let outcome = outcome.map_err(|err| {
        if let StateError::Ticket(reason) = &err {
            let reason = reason.to_string();
            shared
                .audit
                .record(AuditEvent::TicketRefused { number, reason });
        }
        state_problem(&err)
    })?;
    if !outcome.repeated {
        let revision = outcome.revision;
        shared
            .audit
            .record(AuditEvent::TicketAccepted { number, revision });
    }
    Ok(reply::json(StatusCode::OK, &outcome))
}

/// Shows an accepted ticket.
pub(super) async fn get(number: &str, shared: &Shared) -> Result<Reply, Problem> {
    let number = parse_number(number)?;
    let found = shared.tickets.find(number, deadline()).await;
    let found = found.map_err(|err| state_problem(&err))?;
    let Some(found) = found else {
        let text = format!("ticket {number} was not accepted");
        return Err(Problem::not_run(ProblemKind::NotFound, text));
    };
    let body = shared.tickets.body(&found, deadline()).await;
    let body = body.map_err(|err| state_problem(&err))?;
    Ok(reply::json(StatusCode::OK, &body))
}

/// Lists the tickets accepted last, oldest first.
pub(super) async fn list(shared: &Shared) -> Result<Reply, Problem> {
    let accepted = shared.tickets.recent(deadline()).await;
    let accepted = accepted.map_err(|err| state_problem(&err))?;
    Ok(reply::json(StatusCode::OK, &accepted))
}

/// The answer to a caller when something durable could not be read or written.
pub(super) fn state_problem(err: &StateError) -> Problem {
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
        | StateError::Contended(_) => {
            Problem::not_run(ProblemKind::StoreUnavailable, text).with_retry_after(RETRY_AFTER_S)
        }
    }
}

/// The refusal of a malformed call.
pub(super) fn bad_request(text: String) -> Problem {
    Problem::not_run(ProblemKind::BadRequest, text)
}

fn check_fit(config: &Configuration) -> Result<(), TicketError> {
    for data_centre in config.data_centres.values() {
        let mut shapes = Vec::new();
        for organisation in config.organisations.values() {
            for guarantee in &organisation.guarantees {
                if guarantee.data_centre == data_centre.id {
                    shapes.push((organisation.id.clone(), guarantee.shape));
                }
            }
        }
        check_guarantees(data_centre, &shapes).map_err(|misfit| {
            TicketError::GuaranteesDoNotFit(format!("{misfit} in {}", data_centre.id))
        })?;
    }
    Ok(())
}

fn parse_number(text: &str) -> Result<TicketNumber, Problem> {
    text.parse()
        .map_err(|err: lycheeyard_protocol::ParseError| bad_request(err.to_string()))
}

fn deadline() -> Instant {
    Instant::now() + TICKET_CALL
}
