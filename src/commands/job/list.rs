use super::show::{job_table, push_job};
use crate::{commands::flags, error::CliError};
use error_stack::Report;
use lycheeyard_protocol::JobView;

/// Lists the jobs of the entry instance's data centre.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::call_options();
    let matches = match flags::parse(&options, args, "Usage: lycheeyard job list")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [] = flags::arguments(&matches, [])?;
    let views: Vec<JobView> = flags::client(&matches)?.get("/v1/jobs").await?;
    if matches.opt_present("json") {
        return Ok(serde_json::to_string(&views).unwrap_or_default());
    }
    let mut table = job_table();
    for view in &views {
        push_job(&mut table, view);
    }
    Ok(table.to_string())
}
