use super::show::describe;
use crate::{commands::flags, error::CliError};
use error_stack::Report;
use lycheeyard_protocol::JobView;

/// Asks for a job to be cancelled.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::call_options();
    let brief = "Usage: lycheeyard job cancel ORGANISATION JOB";
    let matches = match flags::parse(&options, args, brief)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let organisation = flags::argument(&matches, 0, "ORGANISATION")?;
    let job = flags::argument(&matches, 1, "JOB")?;
    let path = format!("/v1/jobs/{organisation}/{job}");
    let view: JobView = flags::client(&matches)?.delete(&path).await?;
    Ok(describe(&view, matches.opt_present("json")))
}
