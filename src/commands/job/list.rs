use super::show::{job_table, push_job};
use crate::{commands::flags, error::CliError, output::format_json};
use error_stack::Report;
use getopts::Matches;
use lycheeyard_protocol::{DataCentreId, JobState, JobView, OrganisationId};

/// Lists the jobs of one data centre.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::common_options();
    let help = "only this organisation's jobs; required with an organisation's key";
    options.optopt("", "organisation", help, "NAME");
    let help = "data centre (default: that of the entry instance)";
    options.optopt("", "data-centre", help, "NAME");
    options.optopt("", "state", "only jobs in this state", "STATE");
    let matches = match flags::parse(&options, args, "Usage: lycheeyard job list")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [] = flags::positional(&matches, [])?;
    let path = format!("/v1/jobs{}", jobs_query(&matches)?);
    let views: Vec<JobView> = flags::client(&matches)?.get(&path).await?;
    if matches.opt_present("json") {
        return format_json(&views);
    }
    let mut table = job_table();
    for view in &views {
        push_job(&mut table, view);
    }
    Ok(table.to_string())
}

fn jobs_query(matches: &Matches) -> Result<String, Report<CliError>> {
    let organisation = flags::parse_option::<OrganisationId>(matches, "organisation")?;
    let data_centre = flags::parse_option::<DataCentreId>(matches, "data-centre")?;
    let state = flags::parse_option::<JobState>(matches, "state")?;
    Ok(flags::query_string(&[
        ("organisation", organisation.map(|id| id.to_string())),
        ("data-centre", data_centre.map(|id| id.to_string())),
        ("state", state.map(|state| state.to_string())),
    ]))
}
