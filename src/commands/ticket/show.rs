use crate::{commands::flags, error::CliError};
use error_stack::Report;
use lycheeyard_protocol::{Ticket, TicketNumber};

/// Prints an accepted ticket.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::common_options();
    let matches = match flags::parse(&options, args, "Usage: lycheeyard ticket show NUMBER")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [number] = flags::positional(&matches, ["NUMBER"])?;
    let number: TicketNumber = flags::parse_value("NUMBER", number)?;
    let path = format!("/v1/tickets/{number}");
    let ticket: Ticket = flags::client(&matches)?.get(&path).await?;
    let encode_error = |reason: String| {
        Report::new(CliError::Malformed {
            address: path.clone(),
            reason,
        })
    };
    if matches.opt_present("json") {
        return serde_json::to_string(&ticket).map_err(|err| encode_error(err.to_string()));
    }
    toml::to_string(&ticket).map_err(|err| encode_error(err.to_string()))
}
