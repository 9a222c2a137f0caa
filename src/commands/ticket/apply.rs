use crate::{commands::flags, documents::read_document, error::CliError};
use error_stack::Report;
use lycheeyard_protocol::{Ticket, TicketError};
use serde_json::Value;

/// Submits the ticket that a file specifies.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::common_options();
    let matches = match flags::parse(&options, args, "Usage: lycheeyard ticket apply FILE")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [file] = flags::positional(&matches, ["FILE"])?;
    let ticket: Ticket = read_document(file)?;
    ticket.check().map_err(|err| invalid_ticket(file, &err))?;
    let path = format!("/v1/tickets/{}", ticket.number);
    let outcome: Value = flags::client(&matches)?.put(&path, &ticket).await?;
    if matches.opt_present("json") {
        return Ok(outcome.to_string());
    }
    let revision = &outcome["revision"];
    let status = if outcome["repeated"] == true {
        "was already accepted"
    } else {
        "is accepted"
    };
    Ok(format!(
        "ticket {} {status} as revision {revision}",
        ticket.number
    ))
}

fn invalid_ticket(file: &str, err: &TicketError) -> Report<CliError> {
    Report::new(CliError::Document {
        path: file.to_owned(),
        reason: err.to_string(),
    })
}
