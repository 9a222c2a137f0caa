use crate::{commands::flags, documents::read_document, error::CliError};
use error_stack::Report;
use lycheeyard_protocol::Ticket;
use serde_json::Value;

/// Sends a ticket from a file.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::call_options();
    let matches = match flags::parse(&options, args, "Usage: lycheeyard ticket apply FILE")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let ticket: Ticket = read_document(flags::argument(&matches, 0, "FILE")?)?;
    let path = format!("/v1/tickets/{}", ticket.number);
    let outcome: Value = flags::client(&matches)?.put(&path, &ticket).await?;
    if matches.opt_present("json") {
        return Ok(outcome.to_string());
    }
    let revision = outcome["revision"].to_string();
    Ok(format!(
        "ticket {} is accepted as revision {revision}",
        ticket.number
    ))
}
